package reducer

import (
	"time"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
)

// fileRequestInterval is the minimum time between two requests for a peer's file.
const fileRequestInterval = time.Second

// fileOffered adopts a file only if it is newer than the one in force. Files are
// totally ordered by revision and digest, so instances that receive them in
// different order end with the same file.
func (s *State) fileOffered(ev FileOffered) {
	if ev.File == nil {
		return
	}
	if !ev.File.Newer(s.file) && !s.cfg.Guards.NoUpwardsOnly {
		if ev.File.Digest() != s.file.Digest() {
			s.count(CounterFilesRejected, "not_newer", 1)
			s.log("file_not_adopted", "source", ev.Source, "revision", ev.File.Revision, "in_force", s.file.Revision)
		}
		return
	}
	s.accrueAll()
	s.file = ev.File
	s.manifest, s.parts = ev.Manifest, ev.Parts
	s.tierRank = make(map[string]int, len(s.file.Tiers))
	for i := range s.file.Tiers {
		s.tierRank[s.file.Tiers[i].Name] = s.file.Tiers[i].Rank
	}
	s.count(CounterFilesAdopted, "", 1)
	s.log("file_adopted", "source", ev.Source, "revision", s.file.Revision)
	s.emit(FileAdopted{File: s.file, Source: ev.Source})
	s.rebuildEndpoints()
	s.checkReady()
	s.announceFile()
}

// announceFile sends a heartbeat to each peer at once, without waiting for the
// next interval, so that a change spreads through a zone that cannot reach the
// platform.
func (s *State) announceFile() {
	for _, p := range s.peerOrder {
		if p.session {
			s.sendHeartbeat(p)
		}
	}
}

// hasNewerFile reports whether a peer has announced a file newer than the one in
// force.
func (s *State) hasNewerFile(p *peer) bool {
	if p.revision == 0 || s.file == nil {
		return p.revision != 0
	}
	if p.revision != s.file.Revision {
		return p.revision > s.file.Revision
	}
	d := s.file.Digest()
	return p.digest > string(d[:8])
}

// requestNewerFile requests a peer's file if it is newer than the one in force.
func (s *State) requestNewerFile(p *peer) {
	if !s.hasNewerFile(p) || s.now.Sub(s.fileRequestedAt) < fileRequestInterval {
		return
	}
	s.fileRequestedAt = s.now
	s.send(p.id, &peerpb.Frame{Body: &peerpb.Frame_FileRequest{FileRequest: &peerpb.FileRequest{Revision: p.revision}}})
}

func (s *State) fileRequested(from Incarnation, r *peerpb.FileRequest) {
	if s.file == nil || s.file.Revision < r.GetRevision() {
		return
	}
	s.send(from, &peerpb.Frame{Body: &peerpb.Frame_FileReply{FileReply: &peerpb.FileReply{
		Revision: s.file.Revision,
		Manifest: s.manifest,
		Parts:    s.parts,
	}}})
}
