package main

import (
	"time"
)

func init() { cases["versions"] = versionsCase }

const (
	// moreRoutes is two times the dose of big_config on the site sankofa-casts-grown. The
	// desired state has less than valueBytes with them.
	moreRoutes = 2 * 1676
	// stormLength is the length of config_storm on the site zdroj-rounds. The changes are
	// further apart than there. stormPause is the time between two storms.
	stormLength, stormGap, stormPause = 2 * time.Second, 200 * time.Millisecond, 200 * time.Millisecond
	// longest is the longest time of the storms, calm that without any.
	longest, calm = 105 * time.Second, 40 * time.Second
)

// versionsCase changes a desired state of many routes in storms.
func versionsCase(w *world) (broken bool, err error) {
	if err := w.store.listen(); err != nil {
		return false, err
	}
	version := 7
	w.configure(version, "huvo11a", moreRoutes)
	if err := w.startServers("huvo11a", 12, 6, 240*time.Millisecond, 5000); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	for range 2 {
		n, err := w.startNode(284)
		if err != nil {
			return false, err
		}
		w.keepers.Go(func() { n.keepWithinMemory(stop) })
		n.startKept(stop)
	}
	w.note("the desired state has %d bytes", len(w.store.spec("config", "main")))
	for start := time.Now(); !w.allEnded(1) && time.Since(start) < longest; {
		if !w.trouble {
			time.Sleep(calm)
			break
		}
		for storm := time.Now(); time.Since(storm) < stormLength; time.Sleep(stormGap) {
			version++
			w.configure(version, "huvo11a", moreRoutes)
		}
		w.note("version r%d is written", version)
		time.Sleep(stormPause)
	}
	close(stop)
	w.keepers.Wait()
	return w.cutTooMany(), nil
}
