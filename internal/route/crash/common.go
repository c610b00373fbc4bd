package crash

// A part that most requests of a route have is not quarantined: if several other parts crash
// upstreams at a time, it alone explains all of the crashes, and without it nothing of the route
// is served.
const (
	// commonShare is the share of the requests of a route that have a common part.
	commonShare = 0.8
	// minCommonRequests is how many requests of a route must be known for that.
	minCommonRequests = 16
	// routeGeneration is how many requests of a route are counted before older ones are
	// forgotten.
	routeGeneration = 64
	// maxRoutes is the maximum number of routes that are counted.
	maxRoutes = 256
)

// commonParts counts how many of the latest requests of each route have each part.
type commonParts map[string]*routeParts

// routeParts counts the parts of the latest requests of a route, in two generations.
type routeParts struct {
	newer, older           map[Key]int
	newerCount, olderCount int
}

// add counts a request.
func (c commonParts) add(route string, keys []Key) {
	r := c[route]
	if r == nil {
		if len(c) >= maxRoutes {
			clear(c)
		}
		r = &routeParts{newer: map[Key]int{}}
		c[route] = r
	}
	if r.newerCount >= routeGeneration {
		r.older, r.olderCount = r.newer, r.newerCount
		r.newer, r.newerCount = map[Key]int{}, 0
	}
	r.newerCount++
	for _, key := range keys {
		if key.IsPart {
			r.newer[key]++
		}
	}
}

// has reports whether most requests of a route have a part.
func (c commonParts) has(key Key) bool {
	for _, r := range c {
		n := r.newerCount + r.olderCount
		if n >= minCommonRequests && float64(r.newer[key]+r.older[key]) >= commonShare*float64(n) {
			return true
		}
	}
	return false
}
