// Package settings reads the INI settings of an entry proxy process. One table
// drives parsing, checking, defaults, bounds, units and the page
// docs/configuration.md. A file is accepted as a whole or all its problems are
// reported together with file, line and result code.
package settings
