package setup

import "time"

// setter stores a value in the settings. It returns the reason if the value is
// rejected, otherwise "".
type setter func(p *parser, value string) string

// key describes one key of a section.
type key struct {
	name     string
	required bool
	set      setter
}

// section describes one section of the file. A section with anyKey accepts keys
// with names chosen by the operator.
type section struct {
	name string
	keys []key
	// optional marks a section that may be omitted although it has a required
	// key.
	optional bool
	anyKey   func(key string) setter
}

func (s *section) setter(name string) setter {
	for _, k := range s.keys {
		if k.name == name {
			return k.set
		}
	}
	if s.anyKey != nil {
		return s.anyKey(name)
	}
	return nil
}

func findSection(name string) *section {
	for i := range sections {
		if sections[i].name == name {
			return &sections[i]
		}
	}
	return nil
}

// Limits of the values of settings.
const (
	minBody   = 1 << 10
	maxBody   = 256 << 20
	minHeader = 4 << 10
	maxHeader = 1 << 20
	minBuffer = 4 << 10
	maxBuffer = 64 << 20
	minMemory = 32 << 20
	maxMemory = 1 << 40
	maxCount  = 1 << 20
	minWatch  = 50 * time.Millisecond
	maxWatch  = time.Minute
	minTime   = 100 * time.Millisecond
	maxTime   = time.Hour
)

// sections lists every section and key that a settings file may contain.
var sections = []section{
	{name: "instance", keys: []key{
		{"name", true, name(func(f *Settings) *string { return &f.Instance.Name })},
		{"datacentre", true, name(func(f *Settings) *string { return &f.Instance.DataCentre })},
		{"region", true, name(func(f *Settings) *string { return &f.Instance.Region })},
		{"span", false, spanChoice},
	}},
	{name: "listen", keys: []key{
		{"callers", true, address(func(f *Settings) *string { return &f.Listen.Callers })},
		{"peers", false, address(func(f *Settings) *string { return &f.Listen.Peers })},
		{"operators", false, address(func(f *Settings) *string { return &f.Listen.Operators })},
		{"ready", false, address(func(f *Settings) *string { return &f.Listen.Ready })},
		{"metrics", false, address(func(f *Settings) *string { return &f.Listen.Metrics })},
		{"mesh", false, address(func(f *Settings) *string { return &f.Listen.Mesh })},
	}},
	{name: "peers", anyKey: peerKey},
	{name: "platform", keys: []key{
		{"table", true, baseURL(func(f *Settings) *string { return &f.Platform.Table })},
		{"objects", false, baseURL(func(f *Settings) *string { return &f.Platform.Objects })},
		{"list", false, baseURL(func(f *Settings) *string { return &f.Platform.List })},
		{"watch", false, duration(func(f *Settings) *time.Duration { return &f.Platform.Watch }, minWatch, maxWatch)},
	}},
	tlsSection("tls callers", func(f *Settings) *Pair { return &f.TLS.Callers }),
	tlsSection("tls peers", func(f *Settings) *Pair { return &f.TLS.Peers }),
	tlsSection("tls operators", func(f *Settings) *Pair { return &f.TLS.Operators }),
	{name: "limits", keys: []key{
		{"body", false, size(func(f *Settings) *int64 { return &f.Limits.Body }, minBody, maxBody)},
		{"header", false, size(func(f *Settings) *int64 { return &f.Limits.Header }, minHeader, maxHeader)},
		{"tokens", false, count(func(f *Settings) *int { return &f.Limits.Tokens })},
		{"streams", false, count(func(f *Settings) *int { return &f.Limits.Streams })},
		{"team", false, count(func(f *Settings) *int { return &f.Limits.Team })},
		{"connection", false, count(func(f *Settings) *int { return &f.Limits.Connection })},
		{"buffer", false, size(func(f *Settings) *int64 { return &f.Limits.Buffer }, minBuffer, maxBuffer)},
		{"queue", false, count(func(f *Settings) *int { return &f.Limits.Queue })},
		{"memory", false, size(func(f *Settings) *int64 { return &f.Limits.Memory }, minMemory, maxMemory)},
		{"descriptors", false, count(func(f *Settings) *int { return &f.Limits.Descriptors })},
		{"cores", false, amount(func(f *Settings) *float64 { return &f.Limits.Cores })},
		{"link", false, amount(func(f *Settings) *float64 { return &f.Limits.Link })},
	}},
	{name: "retry", keys: []key{
		{"ratio", false, fraction(func(f *Settings) *float64 { return &f.Retry.Ratio })},
		{"allowance", false, amount(func(f *Settings) *float64 { return &f.Retry.Allowance })},
		{"window", false, duration(func(f *Settings) *time.Duration { return &f.Retry.Window }, time.Second, maxTime)},
	}},
	{name: "times", keys: []key{
		{"header", false, duration(func(f *Settings) *time.Duration { return &f.Times.Header }, minTime, maxTime)},
		{"body", false, duration(func(f *Settings) *time.Duration { return &f.Times.Body }, minTime, maxTime)},
		{"write", false, duration(func(f *Settings) *time.Duration { return &f.Times.Write }, minTime, maxTime)},
		{"idle", false, duration(func(f *Settings) *time.Duration { return &f.Times.Idle }, minTime, maxTime)},
		{"comment", false, duration(func(f *Settings) *time.Duration { return &f.Times.Comment }, minTime, maxTime)},
		{"grace", false, duration(func(f *Settings) *time.Duration { return &f.Times.Grace }, 0, maxTime)},
		{"kill", false, duration(func(f *Settings) *time.Duration { return &f.Times.Kill }, 0, maxTime)},
	}},
	{name: "log", keys: []key{
		{"level", false, choice(func(f *Settings) *string { return &f.Log.Level }, "debug", "info", "warn", "error")},
		{"format", false, choice(func(f *Settings) *string { return &f.Log.Format }, "json", "console")},
	}},
	{name: "trace", keys: []key{
		{"url", false, baseURL(func(f *Settings) *string { return &f.Trace.URL })},
		{"part", false, fraction(func(f *Settings) *float64 { return &f.Trace.SampleRatio })},
	}},
	{name: "balance", keys: []key{{"load", false, loadChoice}, {"teams", false, teamsChoice}}},
	{name: "goal", keys: []key{{"weigh", false, goalChoice}}},
	{name: "fencing", anyKey: fencingKey},
}

func tlsSection(title string, at func(*Settings) *Pair) section {
	return section{name: title, optional: true, keys: []key{
		{"cert", true, path(func(f *Settings) *string { return &at(f).Cert })},
		{"key", true, path(func(f *Settings) *string { return &at(f).Key })},
		{"ca", false, path(func(f *Settings) *string { return &at(f).CA })},
	}}
}
