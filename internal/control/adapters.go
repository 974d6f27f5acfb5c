package control

import (
	"github.com/balsamstair/balsamstair/internal/declared"
	"github.com/balsamstair/balsamstair/internal/logline"
	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
	"github.com/balsamstair/balsamstair/internal/reducer"
)

// Peers sends to other instances without blocking.
type Peers interface {
	Connect(address string)
	Send(to uint64, f *peerpb.Frame) bool
	Close(to uint64)
}

// PeerEffectHandler applies the effects that concern connections to peers.
type PeerEffectHandler struct {
	Peers Peers
	// Dropped is called for each frame that could not be queued for sending.
	Dropped func()
}

// HandleEffect implements EffectHandler.
func (c *PeerEffectHandler) HandleEffect(e reducer.Effect) bool {
	switch e := e.(type) {
	case reducer.Send:
		if !c.Peers.Send(uint64(e.To), e.Frame) {
			c.Dropped()
		}
	case reducer.ConnectPeer:
		c.Peers.Connect(e.Instance.PeerAddress)
	case reducer.ClosePeer:
		c.Peers.Close(uint64(e.Peer))
	default:
		return false
	}
	return true
}

// PeerEvents converts peer connection changes and received frames into events.
type PeerEvents struct {
	Post func(reducer.Event)
	Log  *logline.Logger
}

// PeerUp implements peer.Handler.
func (p *PeerEvents) PeerUp(incarnation uint64, hello *peerpb.Hello) {
	p.Post(reducer.PeerUp{Peer: reducer.Incarnation(incarnation), Hello: hello})
}

// PeerDown implements peer.Handler.
func (p *PeerEvents) PeerDown(incarnation uint64) {
	p.Post(reducer.PeerDown{Peer: reducer.Incarnation(incarnation)})
}

// Message implements peer.Handler. A declared file is parsed here, not on the
// control goroutine, and is then offered like one from the platform.
func (p *PeerEvents) Message(from uint64, f *peerpb.Frame) {
	if reply := f.GetFileReply(); reply != nil {
		OfferFile(p.Post, p.Log, "peer", reply.GetManifest(), reply.GetParts())
		return
	}
	p.Post(reducer.PeerMessage{From: reducer.Incarnation(from), Frame: f})
}

// OfferFile parses a published file and posts it as FileOffered. An invalid
// file is logged and otherwise ignored.
func OfferFile(post func(reducer.Event), log *logline.Logger, source string, manifest []byte, parts [][]byte) {
	f, err := parsePublished(manifest, parts)
	if err != nil {
		log.Warn("file_refused", "source", source, "error", err.Error())
		return
	}
	post(reducer.FileOffered{File: f, Manifest: manifest, Parts: parts, Source: source})
}

// parsePublished parses a file that was published as one value or as a manifest
// with parts.
func parsePublished(value []byte, parts [][]byte) (*declared.File, error) {
	if !declared.IsManifest(value) {
		return declared.Parse(value)
	}
	m, err := declared.ParseManifest(value)
	if err != nil {
		return nil, err
	}
	return declared.Assemble(m, parts)
}

// Counters increments exported counters.
type Counters interface {
	Add(counter, label string, n int64)
}

// Observer applies the logging and counting effects.
type Observer struct {
	Counters Counters
	Log      *logline.Logger
}

// HandleEffect implements EffectHandler.
func (o *Observer) HandleEffect(e reducer.Effect) bool {
	switch e := e.(type) {
	case reducer.Counted:
		o.Counters.Add(string(e.Counter), e.Label, e.Delta)
	case reducer.Logged:
		o.Log.Info(e.Event, e.Fields...)
	default:
		return false
	}
	return true
}
