package peer

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"fulmarwick/internal/base/spec"

	"github.com/gorilla/websocket"
	"go.uber.org/zap"
)

// Path is the URL path at which an instance accepts connections from other
// instances.
const Path = "/v1/peer"

const (
	// version is the protocol version of this build. A later build also
	// supports the previous version, so that instances of both versions work
	// together during a rolling upgrade.
	version        = 1
	nameHeader     = "X-Instance"
	protocolPrefix = "fulmarwick."
)

// protocols returns the supported versions as WebSocket subprotocols, highest
// first.
func protocols(low, high int) []string {
	var out []string
	for v := high; v >= low; v-- {
		out = append(out, protocolPrefix+strconv.Itoa(v))
	}
	return out
}

// versionOf returns the version of a subprotocol, or -1 for any other string.
func versionOf(protocol string) int {
	text, ok := strings.CutPrefix(protocol, protocolPrefix)
	if !ok {
		return -1
	}
	v, err := strconv.Atoi(text)
	if err != nil {
		return -1
	}
	return v
}

// highestCommon returns the highest version that both sides support, or -1 if
// there is none.
func highestCommon(low, high int, offered []string) int {
	best := -1
	for _, p := range offered {
		if v := versionOf(p); v >= low && v <= high {
			best = max(best, v)
		}
	}
	return best
}

// Handler serves connections from other instances at Path. With TLS, its server
// must require and verify client certificates.
func (h *Hub) Handler() http.Handler {
	h.init()
	return http.HandlerFunc(h.accept)
}

func (h *Hub) accept(w http.ResponseWriter, r *http.Request) {
	id, problem := h.identify(r)
	if problem != "" {
		h.meter.bad.Inc()
		h.Log.Warn("peer: caller refused", zap.String("address", r.RemoteAddr), zap.String("reason", problem))
		http.Error(w, "peer: "+problem, http.StatusForbidden)
		return
	}
	best := highestCommon(h.Low, h.High, websocket.Subprotocols(r))
	if best < 0 {
		text := fmt.Sprintf("peer: versions %d to %d are spoken here", h.Low, h.High)
		http.Error(w, text, http.StatusUpgradeRequired)
		return
	}
	if h.atCapacity() {
		http.Error(w, "peer: too many connections", http.StatusServiceUnavailable)
		return
	}
	up := websocket.Upgrader{Subprotocols: []string{protocolPrefix + strconv.Itoa(best)}}
	ws, err := up.Upgrade(w, r, nil)
	if err != nil {
		return
	}
	c := newConn(h, id, ws, false)
	h.register(c)
	if !h.start(func() { h.serveConn(c) }) {
		c.closeNormally()
	}
}

// identify returns the ID of the calling instance, or the reason why the call
// is refused.
func (h *Hub) identify(r *http.Request) (id spec.InstanceID, problem string) {
	name := r.Header.Get(nameHeader)
	if name == "" || len(name) > maxName || name == string(h.Self.ID) {
		return "", "no name of another instance"
	}
	if h.TLS == nil {
		return spec.InstanceID(name), ""
	}
	if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return "", "no verified certificate"
	}
	if err := r.TLS.PeerCertificates[0].VerifyHostname(name); err != nil {
		return "", "certificate of another name"
	}
	return spec.InstanceID(name), ""
}

func (h *Hub) atCapacity() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.conns) >= maxConns
}
