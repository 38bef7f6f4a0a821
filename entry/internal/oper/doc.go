// Package oper is the operators' door: an HTTP server on its own address, with
// its own keys (role operator), by which the configuration is published and
// read, hosts are drained and the audit trail is queried. Its messages are
// those of coord/admin.
//
// To run it, the program makes one and runs it beside the rest:
//
//	follower.Register(node) // before the node listens
//	door := oper.New(oper.Settings{Address: "127.0.0.1:7100", Host: "h1"},
//		platform, follower, timers,
//		oper.WithLog(log), oper.WithMetrics(registry))
//	group.Go(func() error { return door.Run(ctx) })
//
// A lowered limit counts as accepted only when the parts handed out fit under
// it, if the door gets a quota.Keeper, which the program runs as well:
//
//	limits := quota.New(platform, follower, timers, zones, log)
//	group.Go(func() error { return limits.Run(ctx) })
//	door := oper.New(…, oper.WithSettler(limits))
//
// Run returns when ctx ends, after the requests under way were answered.
package oper
