// Package relay sends requests to placers and relays their answers. After each
// failure it decides whether the request may be retried, and otherwise which
// outcome is known for certain.
package relay
