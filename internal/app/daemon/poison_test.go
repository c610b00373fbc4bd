package daemon_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"fulmarwick/internal/fakes/trial"
)

// A request crashes every engine that runs it, and its caller sends it to each
// instance in turn. It may cost at most two engines in the whole fleet: the
// second crash identifies it, and every instance refuses it from then on. All
// requests that ran beside it on those engines must complete.
func TestPoisonCostsTwoEnginesOverTheFleet(t *testing.T) {
	e := newClusterAt(t, 4, &trial.Site{LayerTime: 20 * time.Microsecond, Copies: 5, Poison: "venom"})
	w := e.work()
	w.waitAnswers(faultSpacing)
	body := `{"model":"levy-13b","max_tokens":20,"messages":[{"role":"user","content":"this is venom for engines"}]}`
	codes := map[string]int{}
	for i := range 12 {
		status, text := post(t, e.bases[fmt.Sprintf("klang-%d", 1+i%4)]+"/v1/chat/completions", "", body)
		if status == http.StatusOK {
			t.Errorf("got an answer to a request that crashes its engines: %s", text)
		}
		codes[errorCode(text)]++
	}
	w.waitAnswers(faultSpacing)
	w.finish(t)
	dead := 0
	for _, engine := range e.site.Engines() {
		if engine.Dead() {
			dead++
		}
	}
	if dead > 2 {
		t.Errorf("got %d engines lost, want at most 2", dead)
	}
	if codes["poison"] == 0 {
		t.Errorf("got codes %v, want poison among them", codes)
	}
	t.Logf("%d engines lost, refusals %v", dead, codes)
}

// errorCode returns the stable code in an error body.
func errorCode(text string) string {
	_, rest, _ := strings.Cut(text, `"code":"`)
	out, _, _ := strings.Cut(rest, `"`)
	return out
}
