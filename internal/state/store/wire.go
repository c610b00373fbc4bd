package store

// The JSON bodies of the platform's services. Fields are exported for the codec;
// the fake server in fakes/infra uses the same types.
type (
	// RowBody is the JSON form of a row.
	RowBody struct {
		Key     string `json:"key"`
		Version uint64 `json:"version"`
		Value   []byte `json:"value"`
	}
	// ScanBody is the response to GET /v1/table?prefix=P&since=V&limit=N.
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
	// CommitDone is the response to a commit that took effect.
	CommitDone struct {
		Version uint64 `json:"version"`
	}
	// ListedBody is one entry of the response to GET /v1/instances. The
	// platform's list lags behind the actual state.
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
