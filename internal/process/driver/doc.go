// Package driver lets other control processes send a leader's orders to workers.
//
// A leader of a thousand workers spends half of its processor time on the requests
// to them. The other control processes are idle meanwhile, so it hands its orders
// to them in batches and gets the answers back in batches. Below a number of
// workers, and while no other control process answers, it sends them itself.
//
// # Usage
//
//	local := driver.Limit(upstream)
//	driver.NewServer(driver.ServerOptions{Upstream: local, Peer: node, Zone: zone}).Register(node)
//	fleet := driver.NewFleet(driver.FleetOptions{Name: name, Local: local, Peer: node, Members: members, Leading: leading})
//	fleet.Register(node)
//	group.Go(func() error { return fleet.Run(ctx) })
//	d, err := dispatch.New(dispatch.Options{Upstream: fleet, ...})
//
// # Copies
//
// Hedge sends an order without an answer again, on another connection. The order returns
// with the first answer; those to its other copies follow by dispatch.Permit.Late, from a
// driver in further replies, so that the leader knows which copies may still be carried out.
//
// # Partitions
//
// A driver delivers answers by calls to the leader. A partition may let only calls in
// one direction pass; the driver then says so in its answers to batches, and the leader
// fetches the answers of its workers with further batches.
//
// # Safety
//
// A driver decides nothing and keeps no state about workers. Everything that makes
// an order safe to carry out late, twice or not at all is in the order: the run
// number, which is committed before the order leaves, the fencing token, and the
// end of the lease, which only the leader extends. To the leader, an order that a
// driver does not answer is like one whose answer was lost: it may still be carried
// out, so the run is stopped before its task starts elsewhere.
//
// A driver sends no order after the order's time-out, so that one that was paused
// drops what it holds. An order may also wait unread while its driver is paused, so
// it carries until when it may be sent, on the driver's clock, which the leader
// reads with each batch and ages itself (see cell.Stamp).
package driver
