package admin

// The paths of the interface, with their methods, parameters and response types.
// "Lines" are JSON values, one a line. Every request has the header
// "Authorization: Bearer SECRET" with an operator's key.
const (
	PathCheck    = "/v1/check"    // POST Change: Checked
	PathPublish  = "/v1/publish"  // POST Change: lines of Step
	PathConfig   = "/v1/config"   // GET ?version= &object=: Config
	PathDiff     = "/v1/diff"     // GET ?from= &to=: Checked
	PathVersions = "/v1/versions" // GET ?most=: []config.Head
	PathHosts    = "/v1/hosts"    // GET: []Host
	PathAudit    = "/v1/audit"    // GET ?since= &until= &who= &action= &verdict= &object= &most=: []audit.Record
	PathDrain    = "/v1/drain"    // GET: []config.Drain
	PathHost     = "/v1/drain/"   // PUT and DELETE PathHost + host: Empty
	PathWatch    = "/v1/watch"    // GET: lines of Step
)

// BaseHeader is the response header with the version of a configuration.
const BaseHeader = "X-Balsamford-Version"
