// Package route tracks the load that each placer reports and selects the placer to
// which a request is offered.
package route
