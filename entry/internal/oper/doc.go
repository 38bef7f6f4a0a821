// Package oper implements the operator API: an HTTP server with its own address
// and its own keys (role operator). Operators use it to publish and read the
// configuration, drain hosts and query the audit log. Package coord/admin
// defines the messages.
//
// A program creates a Server and runs it next to its other components:
//
//	follower.Register(node) // before the node listens
//	srv := oper.New(oper.Settings{Address: "127.0.0.1:7100", Host: "h1"},
//		platform, follower, clock,
//		oper.WithLog(log), oper.WithMetrics(registry))
//	group.Go(func() error { return srv.Run(ctx) })
//
// With a quota.Keeper as its Settler, which the program also runs, the Server
// reports a lowered limit as accepted only when the shares that the placers
// hold fit under the new limit:
//
//	limits := quota.New(platform, follower, clock, zones, log)
//	group.Go(func() error { return limits.Run(ctx) })
//	srv := oper.New(…, oper.WithSettler(limits))
//
// Run returns when ctx ends, after the requests in progress were answered.
package oper
