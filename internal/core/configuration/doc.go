// Package configuration defines the immutable, versioned configuration of the fleet
// and the release notes that change it. Parsing and applying a note are
// deterministic: the same configuration and note always give the same result.
package configuration
