// Package front serves the clients' HTTP requests. It checks API keys, stores submitted
// jobs and cancellations, and returns the state of jobs and queues. A submission is
// answered with success only after it has been stored, and with a refusal only if it
// is certain never to be stored. If the outcome is unknown, the answer says so.
package front
