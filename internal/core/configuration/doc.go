// Package configuration holds the fleet's immutable, versioned configuration and
// the release notes that change it. Parsing and applying are pure functions: the
// same configuration and note always give the same result.
package configuration
