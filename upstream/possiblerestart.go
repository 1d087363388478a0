package upstream

import "lovageshift"

// OnPossibleRestart sets the function that is called when the target's incarnation, started at born, may have ended without a
// request that noticed: the target has ended an idle connection, for which ended is set, or a connection was opened while no other
// one was open. Such a connection is open by then, and the request not sent. The function must not call the pool. It must be set
// before the first call of Send.
func (p *Pool) OnPossibleRestart(f func(id lovageshift.TargetID, born int64, ended bool)) {
	p.onPossibleRestart = f
}

// reportPossibleRestart calls the function of OnPossibleRestart.
func (p *Pool) reportPossibleRestart(key connKey, ended bool) {
	if p.onPossibleRestart != nil {
		p.onPossibleRestart(key.id, key.born, ended)
	}
}

// dropEnded discards the idle connections that the target has ended, and reports whether there were any. The mutex must be held.
func (p *Pool) dropEnded(key connKey) bool {
	if watch := p.watches[key]; watch != nil && watch.ended() {
		p.dropWatch(key)
		return true
	}
	list := p.idle[key]
	kept := list[:0]
	for _, c := range list {
		if c.ended() {
			_ = c.Close()
			p.removeOpenLocked(key)
			continue
		}
		kept = append(kept, c)
	}
	if len(list) > 0 {
		p.idle[key] = kept
	}
	return len(kept) < len(list)
}

// finishOpening ends the opening of a connection that addOpen counted. The parameter ended is set if the target had ended idle
// ones. A possible restart is reported under the mutex, so that no other connection counts this one as open before it is known.
func (p *Pool) finishOpening(key connKey, opened, ended bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.openingCount[key]--
	if p.openingCount[key] <= 0 {
		delete(p.openingCount, key)
	}
	if !opened {
		p.removeOpenLocked(key)
		return
	}
	ended = p.dropEnded(key) || ended
	if others := p.openCount[key] - p.openingCount[key] - 1; ended || others == 0 {
		p.reportPossibleRestart(key, ended)
	}
}

// keepWatch keeps the connection open, on which the target has just answered Born, unless that exceeds the limit of connections.
// While it is open, the target has not restarted, although no request is there.
func (p *Pool) keepWatch(c *conn, idleTimeout lovageshift.Millis) {
	c.setIdle(p.clock.Now(), idleTimeout)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	limit := p.limits[c.key]
	p.dropWatch(c.key)
	if c.maxIdle <= 0 || limit > 0 && p.openCount[c.key] >= limit {
		_ = c.Close()
		return
	}
	p.openCount[c.key]++
	p.watches[c.key] = c
}

// dropWatch closes the connection that keepWatch has kept to the target, and reports whether there was one. The mutex must be held.
func (p *Pool) dropWatch(key connKey) bool {
	watch := p.watches[key]
	if watch == nil {
		return false
	}
	_ = watch.Close()
	delete(p.watches, key)
	p.removeOpenLocked(key)
	return true
}
