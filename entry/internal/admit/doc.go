// Package admit implements admission control. It limits the number of concurrent
// requests and shares the slots fairly between teams under overload.
package admit
