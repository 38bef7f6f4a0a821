// Package conf is the placer's settings file.
package conf
