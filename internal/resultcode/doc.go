// Package resultcode defines the numbered result codes that callers and
// operators see, and the error type that carries them. docs/result-codes.md
// lists every code; a test compares that page with this package.
package resultcode
