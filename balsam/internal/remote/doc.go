// Package remote is the HTTP client of the operators' API and of the callers' API.
package remote
