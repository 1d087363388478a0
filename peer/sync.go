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
	// Longest time for which one read of the source waits for a new set. It is also the mean pause before a process that is
	// not a watcher checks again whether it has to read the source.
	watchWait = time.Second
	// Mean interval between comparisons of revisions with peers.
	exchangeInterval = time.Second
	// Timeout of one call to a peer.
	callTimeout = 2 * time.Second
	// The mean pause after a failed read of the source doubles from minBackoff up to maxBackoff. Until the first
	// configuration is in force, minBackoff is also the pause between comparisons of revisions with the seeds.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 10 * time.Second
	// Most peers to compare revisions with before Node.Ready reports true.
	peersAtStart = 3
	// Most peers to compare revisions with at a time while the trust in the revision in force is below
	// revision.TrustConfirmed.
	peersUnconfirmed = 8
	// Most bytes of file content in one reply to a Fetch call, unless the first file in it alone is larger.
	fetchBatchBytes = 4 << 20
)

// Run keeps the configuration up to date until the context ends, then closes the pool of connections.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.watchSource(ctx) })
	group.Go(func() error { return n.exchangeWithPeers(ctx) })
	group.Go(func() error { return n.fetchFromPeers(ctx) })
	err := group.Wait()
	n.Pool.Close()
	return err
}

// watchSource reads the source continuously if this process is a watcher or has no configuration yet. Otherwise it reads
// the source only while the last confirmation of the revision in force is longer ago than limits.confirmMillis or there was
// none. After each failed read it pauses for longer, up to maxBackoff on
// average.
func (n *Node) watchSource(ctx context.Context) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		if !n.shouldReadSource() {
			lovageshift.Pause(ctx, n.Jitter(watchWait))
			continue
		}
		if err := n.readSource(ctx); err != nil {
			lovageshift.Pause(ctx, n.Jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		if !n.watchesContinuously() {
			lovageshift.Pause(ctx, n.Jitter(watchWait))
		}
	}
	return nil
}

func (n *Node) watchesContinuously() bool {
	config := n.Revisions.Config()
	return config == nil || n.IsWatcher(config)
}

func (n *Node) shouldReadSource() bool {
	if n.watchesContinuously() {
		return true
	}
	ago := n.Revisions.ConfirmedAgo(n.Now())
	return ago < 0 || ago > n.Limits().ConfirmMillis
}

// readSource reads the source once. It puts a new set in force or, if there is no new set, confirms the revision in force
// as the newest. It returns an error if the read fails or activate does not accept the new set.
func (n *Node) readSource(ctx context.Context) error {
	var after lovageshift.Revision
	var known folder.Digest
	if active := n.Revisions.Active(); active != nil {
		after, known = active.Config.Revision, active.Digest
	}
	requestedAt := n.Now()
	n.sourceReads.Add(1)
	set, err := n.Source.Watch(ctx, after, known, watchWait)
	if err != nil {
		if ctx.Err() == nil {
			n.Metrics.Add(metrics.Configurations, "unreadable", 1)
		}
		return err
	}
	if set == nil {
		n.Revisions.Confirm(after, requestedAt)
		return nil
	}
	return n.activateFromSource(set, requestedAt)
}

func (n *Node) activateFromSource(set *folder.Set, requestedAt lovageshift.Millis) error {
	err := n.activate(set, "the platform")
	if err == nil || errors.Is(err, revision.ErrSame) {
		n.Revisions.Confirm(set.Revision, requestedAt)
		return nil
	}
	return err
}

// exchangeWithPeers compares revisions with one random peer about every second, or with up to 8 (peersUnconfirmed) while the
// trust in the revision in force is below revision.TrustConfirmed. It compares them with all peers when a new configuration
// comes into force. Until there is a first configuration, it compares revisions with all seeds, with a pause of minBackoff
// between the rounds. Once there is one, it compares them with up to 3 peers (peersAtStart) and then marks the node as ready.
func (n *Node) exchangeWithPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := n.Revisions.Changed()
		switch {
		case n.Revisions.Config() == nil:
			n.exchangeWithSome(ctx, len(n.Seeds))
		case !n.ready.Load():
			n.exchangeWithSome(ctx, peersAtStart)
			n.ready.Store(true)
		case n.Trust() != revision.TrustConfirmed:
			n.exchangeWithSome(ctx, peersUnconfirmed)
		default:
			n.exchangeWithSome(ctx, 1)
		}
		select {
		case <-ctx.Done():
		case <-changed:
			n.exchangeWithSome(ctx, len(n.peerAddresses()))
		case <-time.After(n.exchangeDelay()):
		}
	}
	return nil
}

func (n *Node) exchangeDelay() time.Duration {
	if n.Revisions.Config() == nil {
		return minBackoff
	}
	return n.Jitter(exchangeInterval)
}

// exchangeWithSome compares revisions with up to count random peers concurrently.
func (n *Node) exchangeWithSome(ctx context.Context, count int) {
	peers := append([]Address(nil), n.peerAddresses()...)
	n.randomMutex.Lock()
	n.Random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	n.randomMutex.Unlock()
	var group errgroup.Group
	for _, peer := range peers[:min(count, len(peers))] {
		group.Go(func() error {
			n.exchange(ctx, peer)
			return nil
		})
	}
	_ = group.Wait()
}

// exchange compares revisions with a peer; the two processes also send each other their suspects. It ignores a failed call,
// as a later call with any peer serves the same purpose.
func (n *Node) exchange(ctx context.Context, peer Address) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	requestedAt := n.Now()
	request := &wire.ExchangeRequest{
		Process: n.ID, Incarnation: int64(n.Incarnation), Stamp: n.Stamp(), Suspects: n.ForemostSuspects(),
	}
	reply, err := link.Call(ctx, n.Pool, peer.Address, func(ctx context.Context, conn *drpcconn.Conn) (*wire.ExchangeReply, error) {
		return wire.NewDRPCPeerClient(conn).Exchange(ctx, request)
	})
	if err != nil {
		return
	}
	n.LearnSuspects(reply.Suspects)
	n.ObserveStamp(peer, reply.Stamp, requestedAt)
}

// fetchFromPeers fetches newer configurations, one after the other, from the queued peers that reported them.
func (n *Node) fetchFromPeers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case peer := <-n.fetchQueue:
			if err := n.fetch(ctx, peer); err != nil && ctx.Err() == nil {
				klog.Warningf("config: fetch from %s failed: %v", peer.ID, err)
			}
			n.fetchPending.Delete(peer.Address)
		}
	}
}

// fetch reads the manifest of a peer's configuration and, if its revision is newer than the one in force, the files that
// this process lacks, and puts the configuration in force. It also returns nil if activate does not put the configuration
// in force, as activate itself counts and logs the refusals that matter to an operator.
func (n *Node) fetch(ctx context.Context, peer Address) error {
	requestedAt := n.Now()
	manifest, err := n.callFetch(ctx, peer, &wire.FetchRequest{})
	if err != nil {
		return err
	}
	offered := lovageshift.Revision(manifest.Stamp.GetRevision())
	if config := n.Revisions.Config(); config != nil && config.Revision >= offered {
		return nil
	}
	set, missing := n.reuseFiles(manifest)
	if err := n.fetchMissing(ctx, peer, manifest.Stamp.Hash, set, missing); err != nil {
		return err
	}
	digest := set.Digest()
	if !bytes.Equal(digest[:], manifest.Stamp.Hash) {
		return errors.New("the fetched files do not match the hash in the manifest")
	}
	if err := n.activate(set, peer.ID); err != nil {
		return nil
	}
	n.ObserveStamp(peer, manifest.Stamp, requestedAt)
	return nil
}

// reuseFiles returns a set with those files of a peer's manifest whose content is also in the configuration in force here,
// and the names of the other files of the manifest.
func (n *Node) reuseFiles(manifest *wire.FetchReply) (*folder.Set, []string) {
	byDigest := map[folder.Digest]folder.File{}
	if active := n.Revisions.Active(); active != nil {
		for _, file := range active.Set.Files {
			byDigest[file.Digest] = file
		}
	}
	set := &folder.Set{Revision: lovageshift.Revision(manifest.Stamp.GetRevision())}
	var missing []string
	for _, file := range manifest.Files {
		var digest folder.Digest
		copy(digest[:], file.Hash)
		if known, found := byDigest[digest]; found {
			set.Files = append(set.Files, folder.File{Name: file.Name, Content: known.Content, Digest: digest})
			continue
		}
		missing = append(missing, file.Name)
	}
	return set, missing
}

// fetchMissing fetches the missing files from the peer and adds them to the set. It makes several calls if the files do not
// fit into one reply. The parameter hash is the digest of all files of the peer's configuration, from the manifest.
func (n *Node) fetchMissing(ctx context.Context, peer Address, hash []byte, set *folder.Set, missing []string) error {
	for len(missing) > 0 {
		reply, err := n.callFetch(ctx, peer, &wire.FetchRequest{Hash: hash, Files: missing})
		if err != nil {
			return err
		}
		if len(reply.Files) == 0 {
			return errors.New("the peer no longer has the configuration of its manifest in force")
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

// Exchange handles a peer's request to compare revisions: it applies the peer's stamp and suspects, and replies with
// those of this process.
func (n *Node) Exchange(_ context.Context, request *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	n.LearnSuspects(request.Suspects)
	n.ObserveStamp(n.addressOf(request.Process), request.Stamp, n.Now())
	return &wire.ExchangeReply{
		Process: n.ID, Incarnation: int64(n.Incarnation), Stamp: n.Stamp(), Suspects: n.ForemostSuspects(),
	}, nil
}

// addressOf returns the Address of a process. Its field Address is empty unless the process id is that of a target in the
// configuration in force, as only agents serve peers.
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

// Fetch returns the manifest of the configuration in force, the names and digests of its files, if the request names no
// files. Otherwise it returns the first of the named files, up to fetchBatchBytes in total but at least one. It returns no
// files if none is in force or the configuration in force does not have the requested hash.
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
	reply.Files = fileBatch(active.Set, request.Files)
	return reply, nil
}

// fileBatch returns the first of the named files, in the order of names: as many as fit into fetchBatchBytes, but at least
// one.
func fileBatch(set *folder.Set, names []string) []*wire.ConfigFile {
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
