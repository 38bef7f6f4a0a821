// Package config keeps the operators' newest configuration in force on a host.
package config
