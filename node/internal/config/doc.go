// Package config applies the newest configuration that the operators have published.
package config
