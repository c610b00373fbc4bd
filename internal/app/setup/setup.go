// Package setup reads and checks the INI settings of an instance.
//
// It imports the INI library. The commands load a File and hand it to the
// daemon.
package setup

import (
	"time"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// ErrBad means that the settings were refused; its text lists every reason.
var ErrBad = errors.New("setup: bad settings")

// Defaults of the settings that may be left out.
const (
	defaultWatch  = time.Second
	defaultBody   = 4 << 20
	defaultTokens = 32768
)

// File is the settings of one instance.
type File struct {
	Instance Instance
	Platform Platform
	Limits   Limits
}

// Instance is the section [instance].
type Instance struct {
	Name       string
	DataCentre string
	Listen     string
}

// Platform is the section [platform].
type Platform struct {
	URL   string
	Watch time.Duration
}

// Limits is the section [limits].
type Limits struct {
	Body   int64
	Tokens int
}

// Load reads the settings from path.
func Load(path string) (File, error) {
	f, err := ini.Load(path)
	if err != nil {
		return File{}, errors.Wrap(ErrBad, err.Error())
	}
	var out File
	instance := f.Section("instance")
	out.Instance.Name = instance.Key("name").String()
	out.Instance.DataCentre = instance.Key("datacentre").String()
	out.Instance.Listen = instance.Key("listen").String()
	platform := f.Section("platform")
	out.Platform.URL = platform.Key("url").String()
	out.Platform.Watch = platform.Key("watch").MustDuration(defaultWatch)
	limits := f.Section("limits")
	out.Limits.Body = limits.Key("body").MustInt64(defaultBody)
	out.Limits.Tokens = limits.Key("tokens").MustInt(defaultTokens)
	return out, out.check()
}

func (f File) check() error {
	switch {
	case f.Instance.Name == "":
		return errors.Wrap(ErrBad, "[instance] name is missing")
	case f.Instance.Listen == "":
		return errors.Wrap(ErrBad, "[instance] listen is missing")
	case f.Platform.URL == "":
		return errors.Wrap(ErrBad, "[platform] url is missing")
	}
	return nil
}
