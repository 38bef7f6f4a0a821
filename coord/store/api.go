package store

// The paths of the platform's HTTP interface, which Client calls and the
// stand-in serves. Bodies are JSON, except those of objects, which are raw
// bytes. A missing row or object has status 404.
const (
	PathTable  = "/table/"  // GET PathTable + table + "/" + key: Row
	PathScan   = "/scan/"   // GET PathScan + table + "?prefix=": []Row, sorted by key
	PathCommit = "/commit"  // POST []Op; status 409 has a ConflictError as its body
	PathObject = "/object/" // PUT and GET PathObject + name: the object's bytes
	PathHosts  = "/hosts"   // GET: []Host; POST Host adds or replaces one, DELETE ?name= removes one
	PathFault  = "/fault"   // POST Faults: sets the stand-in's injected faults
)
