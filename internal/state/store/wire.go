package store

// The JSON bodies of the platform's services. Fields are exported because the
// codec fills them; the stand-in of fakes/infra shares them.
type (
	// RowBody is a row on the wire.
	RowBody struct {
		Key     string `json:"key"`
		Version uint64 `json:"version"`
		Value   []byte `json:"value"`
	}
	// ScanBody answers GET /v1/table?prefix=P&since=V&limit=N.
	ScanBody struct {
		Rows []RowBody `json:"rows"`
	}
	// WriteBody is one write of a commit.
	WriteBody struct {
		Key       string `json:"key"`
		IfVersion uint64 `json:"if"`
		Value     []byte `json:"value,omitempty"`
		Remove    bool   `json:"remove,omitempty"`
	}
	// CommitBody is the body of POST /v1/commit.
	CommitBody struct {
		Writes []WriteBody `json:"writes"`
	}
	// CommitDone answers a commit that took effect.
	CommitDone struct {
		Version uint64 `json:"version"`
	}
	// ListedBody is one entry of GET /v1/instances, the platform's lagging
	// list.
	ListedBody struct {
		ID         string `json:"id"`
		Role       string `json:"role"`
		Service    string `json:"service,omitempty"`
		URL        string `json:"url"`
		DataCentre string `json:"datacentre"`
		State      string `json:"state"`
	}
)

// Roles in the platform's list.
const (
	RoleEntry   = "entry"
	RoleEngine  = "engine"
	RoleService = "service"
)
