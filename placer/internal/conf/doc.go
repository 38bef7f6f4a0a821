// Package conf defines and checks the placer's settings file.
package conf
