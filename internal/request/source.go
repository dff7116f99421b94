package request

import "github.com/rosemarywall/rosemarywall/internal/core/configuration"

// ConfigurationSource gives the configuration in force on this VM.
type ConfigurationSource interface {
	// Current returns the newest accepted configuration that this VM knows; never nil.
	Current() *configuration.Configuration
	// OnChange registers a function that is called with each newer configuration, in order.
	OnChange(func(*configuration.Configuration))
}
