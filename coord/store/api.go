package store

// The platform's HTTP interface, as Client calls it and the stand-in serves
// it. Bodies are JSON, objects are raw.
const (
	PathTable  = "/table/"  // GET PathTable + table + "/" + key: Row
	PathScan   = "/scan/"   // GET PathScan + table + "?prefix=": []Row, sorted by key
	PathCommit = "/commit"  // POST []Op; 409 carries a ConflictError
	PathObject = "/object/" // PUT and GET PathObject + name: the bytes
	PathHosts  = "/hosts"   // GET: []Host; POST Host to announce one, DELETE ?name=
	PathFault  = "/fault"   // POST: fault switches of the stand-in
)
