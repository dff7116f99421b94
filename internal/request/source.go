package request

import "github.com/rosemarywall/rosemarywall/internal/core/configuration"

// ConfigurationSource provides the configuration in force on this VM.
type ConfigurationSource interface {
	// Current returns the newest accepted configuration that this VM has; never nil.
	Current() *configuration.Configuration
	// OnChange registers a function that is called with each newer configuration, in
	// order.
	OnChange(func(*configuration.Configuration))
}
