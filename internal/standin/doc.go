// Package standin starts the stand-ins of all outside systems in one process:
// the platform and the database groups with their member agents.
package standin
