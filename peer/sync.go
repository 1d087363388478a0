package peer

import (
	"bytes"
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"
	"storj.io/drpc/drpcconn"

	"lovageshift"
	"lovageshift/folder"
	"lovageshift/link"
	"lovageshift/metrics"
	"lovageshift/revision"
	"lovageshift/wire"
)

const (
	watchWait        = time.Second
	exchangeInterval = time.Second
	callTimeout      = 2 * time.Second
	minBackoff       = 250 * time.Millisecond
	maxBackoff       = 10 * time.Second
	peersAtStart     = 3
	peersUnconfirmed = 8
	fetchBatchBytes  = 4 << 20
)

// Run keeps the configuration in step until the context ends.
func (n *Node) Run(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return n.watchSource(ctx) })
	tasks.Go(func() error { return n.exchangeWithPeers(ctx) })
	tasks.Go(func() error { return n.fetchFromPeers(ctx) })
	err := tasks.Wait()
	n.Pool.Close()
	return err
}

// watchSource reads the source all the time in a watching process, and elsewhere only while nothing confirms the revision.
func (n *Node) watchSource(ctx context.Context) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		if !n.needsSource() {
			lovageshift.Pause(ctx, n.Jitter(watchWait))
			continue
		}
		if err := n.readSource(ctx); err != nil {
			lovageshift.Pause(ctx, n.Jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		if !n.watchesNow() {
			lovageshift.Pause(ctx, n.Jitter(watchWait))
		}
	}
	return nil
}

func (n *Node) watchesNow() bool {
	config := n.Revisions.Config()
	return config == nil || n.IsWatcher(config)
}

func (n *Node) needsSource() bool {
	if n.watchesNow() {
		return true
	}
	ago := n.Revisions.ConfirmedAgo(n.Now())
	return ago < 0 || ago > n.Limits().ConfirmMillis
}

func (n *Node) readSource(ctx context.Context) error {
	var after lovageshift.Revision
	var known folder.Digest
	if active := n.Revisions.Active(); active != nil {
		after, known = active.Config.Revision, active.Digest
	}
	askedAt := n.Now()
	n.reads.Add(1)
	set, err := n.Source.Watch(ctx, after, known, watchWait)
	if err != nil {
		if ctx.Err() == nil {
			n.Metrics.Add(metrics.Configurations, "unreadable", 1)
		}
		return err
	}
	if set == nil {
		n.Revisions.Confirm(after, askedAt)
		return nil
	}
	return n.activateFromSource(set, askedAt)
}

func (n *Node) activateFromSource(set *folder.Set, askedAt lovageshift.Millis) error {
	err := n.offer(set, "the platform")
	if err == nil || errors.Is(err, revision.ErrSame) {
		n.Revisions.Confirm(set.Revision, askedAt)
		return nil
	}
	return err
}

// exchangeWithPeers compares revisions with one peer a second, with all at once after a change, and with several while nothing confirms the revision.
func (n *Node) exchangeWithPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := n.Revisions.Changed()
		switch {
		case n.Revisions.Config() == nil:
			n.exchangeSome(ctx, len(n.Seeds))
		case !n.ready.Load():
			n.exchangeSome(ctx, peersAtStart)
			n.ready.Store(true)
		case n.Trust() != revision.TrustConfirmed:
			n.exchangeSome(ctx, peersUnconfirmed)
		default:
			n.exchangeSome(ctx, 1)
		}
		select {
		case <-ctx.Done():
		case <-changed:
			n.exchangeSome(ctx, len(n.peers()))
		case <-time.After(n.exchangePause()):
		}
	}
	return nil
}

func (n *Node) exchangePause() time.Duration {
	if n.Revisions.Config() == nil {
		return minBackoff
	}
	return n.Jitter(exchangeInterval)
}

// exchangeSome compares revisions with some peers, chosen at random, at the same time.
func (n *Node) exchangeSome(ctx context.Context, count int) {
	peers := append([]Address(nil), n.peers()...)
	n.randomMutex.Lock()
	n.Random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	n.randomMutex.Unlock()
	var tasks errgroup.Group
	for _, peer := range peers[:min(count, len(peers))] {
		tasks.Go(func() error {
			n.exchange(ctx, peer)
			return nil
		})
	}
	_ = tasks.Wait()
}

func (n *Node) exchange(ctx context.Context, peer Address) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	askedAt := n.Now()
	request := &wire.ExchangeRequest{
		Process: n.ID, Incarnation: int64(n.Incarnation), Stamp: n.Stamp(), Suspects: n.NewestSuspects(),
	}
	reply, err := link.Call(ctx, n.Pool, peer.Address, func(ctx context.Context, conn *drpcconn.Conn) (*wire.ExchangeReply, error) {
		return wire.NewDRPCPeerClient(conn).Exchange(ctx, request)
	})
	if err != nil {
		return
	}
	n.LearnSuspects(reply.Suspects)
	n.ObserveStamp(peer, reply.Stamp, askedAt)
}

// fetchFromPeers brings newer configurations over from the peers that told of them.
func (n *Node) fetchFromPeers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case peer := <-n.fetches:
			if err := n.fetch(ctx, peer); err != nil && ctx.Err() == nil {
				klog.Warningf("config: fetch from %s failed: %v", peer.ID, err)
			}
			n.fetching.Delete(peer.Address)
		}
	}
}

func (n *Node) fetch(ctx context.Context, peer Address) error {
	askedAt := n.Now()
	manifest, err := n.callFetch(ctx, peer, &wire.FetchRequest{})
	if err != nil {
		return err
	}
	revisionOffered := lovageshift.Revision(manifest.Stamp.GetRevision())
	if config := n.Revisions.Config(); config != nil && config.Revision >= revisionOffered {
		return nil
	}
	set, missing := n.reuse(manifest)
	if err := n.fetchMissing(ctx, peer, manifest.Stamp.Hash, set, missing); err != nil {
		return err
	}
	digest := set.Digest()
	if !bytes.Equal(digest[:], manifest.Stamp.Hash) {
		return errors.New("the files do not match the content hash")
	}
	if err := n.offer(set, peer.ID); err != nil {
		return nil
	}
	n.ObserveStamp(peer, manifest.Stamp, askedAt)
	return nil
}

// reuse fills a set with the files that this process already has and names the others.
func (n *Node) reuse(manifest *wire.FetchReply) (*folder.Set, []string) {
	have := map[folder.Digest]folder.File{}
	if active := n.Revisions.Active(); active != nil {
		for _, file := range active.Set.Files {
			have[file.Digest] = file
		}
	}
	set := &folder.Set{Revision: lovageshift.Revision(manifest.Stamp.GetRevision())}
	var missing []string
	for _, file := range manifest.Files {
		var digest folder.Digest
		copy(digest[:], file.Hash)
		if known, found := have[digest]; found {
			set.Files = append(set.Files, folder.File{Name: file.Name, Content: known.Content, Digest: digest})
			continue
		}
		missing = append(missing, file.Name)
	}
	return set, missing
}

func (n *Node) fetchMissing(ctx context.Context, peer Address, hash []byte, set *folder.Set, missing []string) error {
	for len(missing) > 0 {
		reply, err := n.callFetch(ctx, peer, &wire.FetchRequest{Hash: hash, Files: missing})
		if err != nil {
			return err
		}
		if len(reply.Files) == 0 {
			return errors.New("the peer has moved on to another revision")
		}
		for _, file := range reply.Files {
			set.Files = append(set.Files, folder.NewFile(file.Name, file.Content))
		}
		missing = missing[min(len(reply.Files), len(missing)):]
	}
	return nil
}

func (n *Node) callFetch(ctx context.Context, peer Address, request *wire.FetchRequest) (*wire.FetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return link.Call(ctx, n.Pool, peer.Address, func(ctx context.Context, conn *drpcconn.Conn) (*wire.FetchReply, error) {
		return wire.NewDRPCPeerClient(conn).Fetch(ctx, request)
	})
}

// Exchange answers a peer's comparison.
func (n *Node) Exchange(_ context.Context, request *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	n.LearnSuspects(request.Suspects)
	n.ObserveStamp(n.addressOf(request.Process), request.Stamp, n.Now())
	return &wire.ExchangeReply{
		Process: n.ID, Incarnation: int64(n.Incarnation), Stamp: n.Stamp(), Suspects: n.NewestSuspects(),
	}, nil
}

// addressOf returns where a process is reached, with an empty address for one that serves no peers.
func (n *Node) addressOf(process string) Address {
	config := n.Revisions.Config()
	if config == nil {
		return Address{ID: process}
	}
	if target := config.Targets[lovageshift.TargetID(process)]; target != nil {
		return Address{process, target.Agent}
	}
	return Address{ID: process}
}

// Fetch returns the manifest, or the named files as far as they fit one message.
func (n *Node) Fetch(_ context.Context, request *wire.FetchRequest) (*wire.FetchReply, error) {
	active := n.Revisions.Active()
	if active == nil {
		return &wire.FetchReply{Stamp: n.Stamp()}, nil
	}
	reply := &wire.FetchReply{Stamp: n.Stamp()}
	if len(request.Files) == 0 {
		for _, file := range active.Set.Files {
			reply.Files = append(reply.Files, &wire.ConfigFile{Name: file.Name, Hash: file.Digest[:]})
		}
		return reply, nil
	}
	if !bytes.Equal(request.Hash, active.Digest[:]) {
		return reply, nil
	}
	reply.Files = contents(active.Set, request.Files)
	return reply, nil
}

// contents returns the named files in their order, ending before the batch grows too large.
func contents(set *folder.Set, names []string) []*wire.ConfigFile {
	byName := make(map[string]folder.File, len(set.Files))
	for _, file := range set.Files {
		byName[file.Name] = file
	}
	var files []*wire.ConfigFile
	size := 0
	for _, name := range names {
		file := byName[name]
		size += len(file.Content)
		if size > fetchBatchBytes && len(files) > 0 {
			break
		}
		files = append(files, &wire.ConfigFile{Name: name, Hash: file.Digest[:], Content: file.Content})
	}
	return files
}
