package edge_test

import (
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/platform/stand"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// restoreCopyAge is how old a copy is from which the store is restored, besides the time of what is
// tested.
const restoreCopyAge = time.Second

// Guards against a request that crashes upstreams again when all instances restart after the store came
// back from a copy from before it was known.
func TestCulpritsSurviveRestoreOfStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, processes := newProcessFixture(t, 3)
		defer f.close()
		copied := time.Now()
		time.Sleep(restoreCopyAge)
		p := &stand.Poison{Path: "/write/poison", Delay: crashDelay}
		f.site.AddPoison(p)
		f.sendCopies(p.Path, 6, apart)
		f.site.Store.Rewrite(f.site.Store.Restore(time.Since(copied)))
		if n := f.site.Store.RowCount("culprits"); n > 0 {
			t.Fatalf("got %d rows in the copy, want none", n)
		}
		time.Sleep(3 * time.Second)
		for _, process := range processes {
			process.end()
		}
		for _, process := range processes {
			process.start()
		}
		time.Sleep(4 * time.Second)
		f.sendCopies(p.Path, 12, 200*time.Millisecond)
		f.checkCrashes(p, maxCrashes)
		for _, process := range processes {
			process.end()
		}
	})
}

// Guards against instances that never meet: the store lost the row of one, and another one starts
// before the row is written again.
func TestInstancesMeetAfterRestoreOfStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3)
		defer f.close()
		copied := time.Now()
		time.Sleep(restoreCopyAge)
		stopFirst := f.startInstance(7, zap.NewNop())
		time.Sleep(2 * time.Second)
		f.site.Store.Rewrite(f.site.Store.Restore(time.Since(copied)))
		core, logs := observer.New(zap.InfoLevel)
		stopLast := f.startInstance(8, zap.New(core))
		time.Sleep(8 * time.Second)
		if n := f.site.Store.RowCount("instances"); n != 5 {
			t.Errorf("got %d rows of instances, want 5", n)
		}
		if n := logs.FilterMessage("edge: instance met").Len(); n != 4 {
			t.Errorf("got %d instances met by the started one, want all 4", n)
		}
		stopFirst()
		stopLast()
	})
}
