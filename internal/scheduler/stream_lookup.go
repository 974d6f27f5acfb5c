package scheduler

import (
	"slices"
	"time"

	"github.com/balsamstair/balsamstair/internal/origin"
)

const (
	// lookupRoundTime is how long the instances that should have the record of an
	// attempt have to answer before all are asked. lookupTime is how long all have.
	lookupRoundTime = 60 * time.Millisecond
	lookupTime      = 200 * time.Millisecond
	// listingCheckTime is how long the platform has beyond that to confirm the list, and
	// listingCheckInterval the least time between two such checks.
	listingCheckTime     = 75 * time.Millisecond
	listingCheckInterval = 100 * time.Millisecond
)

// lookup is the search for the software that began a stream.
type lookup struct {
	attempt origin.Attempt
	// run is the attempt as endpoints know it. unnamed is set if the caller did not say
	// which attempt began the stream; the two then mean nothing.
	run     origin.Attempt
	unnamed bool
	// route is the name of the request's route.
	route    string
	services []string
	memory   time.Duration
	began    Instant
	// asked holds the instances that were asked, pending those that have not answered
	// yet. recorders are those of asked that should have the record, askedAll is set
	// once all were asked.
	asked, pending, recorders []string
	askedAll                  bool
	// awaitsListing is set once only the platform's confirmation of the list is missing.
	awaitsListing bool
	// answers are those of instances without a record, answered their addresses.
	answers  []OriginAnswer
	answered []string
}

// findOrigin looks for the software that began the stream of a request. The request
// is bound, refused, or waits for the answers of other instances.
func (s *State) findOrigin(r *request, p *pool) {
	attempt := r.originAttempt()
	run := origin.RunOf(r.Resumes)
	if r.Resumes != "" {
		if record, known := s.recordedOrigin(attempt, run); known {
			s.originFound(r, p, record.Software, "recorded")
			return
		}
	}
	l := &lookup{
		attempt: attempt, run: run, unnamed: r.Resumes == "", route: r.Route.Name,
		services: r.services(), memory: softwareMemory(r.Route.Timeout), began: s.now,
	}
	r.lookup = l
	if r.Resumes != "" {
		l.recorders = s.likelyRecordersOf(attempt)
		s.ask(l, l.recorders)
	}
	if len(l.pending) == 0 && (r.Resumes == "" || s.members.singleInstance()) {
		s.concludeLookup(r, p)
		return
	}
	p.looking = append(p.looking, r)
}

// recordedOrigin returns the record of an attempt, or of its run at an endpoint.
func (s *State) recordedOrigin(attempt, run origin.Attempt) (origin.Record, bool) {
	if record, known := s.origins.Lookup(attempt); known {
		return record, true
	}
	return s.origins.Lookup(run)
}

// ask sends the query of a lookup to those of the instances that are reachable and
// were not asked before.
func (s *State) ask(l *lookup, addresses []string) {
	addresses = slices.DeleteFunc(slices.Clone(addresses), func(a string) bool {
		x := s.members.byAddress[a]
		return slices.Contains(l.asked, a) || x == nil || !s.members.reachable(x, s.now)
	})
	if len(addresses) == 0 {
		return
	}
	l.asked = append(l.asked, addresses...)
	l.pending = append(l.pending, addresses...)
	report := s.partialReport()
	report.OriginQueries = []OriginQuery{{Attempt: l.attempt, Run: l.run, Services: l.services, Memory: l.memory}}
	s.emit(SendReport{To: addresses, Report: report})
}

// answerOriginQueries answers the queries of another instance.
func (s *State) answerOriginQueries(queries []OriginQuery, from string) {
	if len(queries) == 0 {
		return
	}
	report := s.partialReport()
	for _, q := range queries {
		answer := OriginAnswer{Attempt: q.Attempt}
		if record, known := s.recordedOrigin(q.Attempt, q.Run); known {
			answer.Recorded, answer.Software = true, record.Software
		} else {
			answer.Software, answer.Alone = s.history.Sole(q.Services, origin.Time(s.now), q.Memory)
			answer.Covered = s.history.Covers(origin.Time(s.now), q.Memory)
		}
		report.OriginAnswers = append(report.OriginAnswers, answer)
	}
	s.emit(SendReport{To: []string{from}, Report: report})
}

// applyOriginAnswers applies the answers of another instance to the lookups in
// progress.
func (s *State) applyOriginAnswers(answers []OriginAnswer, from string) {
	for _, a := range answers {
		for _, p := range s.poolOrder {
			for _, r := range slices.Clone(p.looking) {
				if r.lookup.attempt == a.Attempt {
					s.applyOriginAnswer(r, p, a, from)
				}
			}
		}
	}
}

func (s *State) applyOriginAnswer(r *request, p *pool, a OriginAnswer, from string) {
	l := r.lookup
	if a.Recorded {
		p.dequeue(r)
		s.originFound(r, p, a.Software, from)
		return
	}
	n := len(l.pending)
	l.pending = slices.DeleteFunc(l.pending, func(address string) bool { return address == from })
	if len(l.pending) == n {
		return
	}
	l.answers = append(l.answers, a)
	l.answered = append(l.answered, from)
	if len(l.pending) == 0 {
		s.advanceLookup(r, p)
	}
}

// reviewLookups advances the lookups whose time is up.
func (s *State) reviewLookups(p *pool) {
	for _, r := range slices.Clone(p.looking) {
		elapsed := s.now.Sub(r.lookup.began)
		if elapsed >= lookupTime || elapsed >= lookupRoundTime && !r.lookup.askedAll || r.lookup.awaitsListing {
			s.advanceLookup(r, p)
		}
	}
}

// advanceLookup asks all other instances if those that should have the record have
// none and do not agree on the software, or concludes the lookup.
func (s *State) advanceLookup(r *request, p *pool) {
	l := r.lookup
	if !l.askedAll && (len(l.answers) == 0 || s.inferOrigin(l, s.listedSince(l.began)) == origin.Unknown) {
		l.askedAll = true
		s.ask(l, addressesOf(s.rankedInstances(l.attempt, true)))
		if len(l.pending) > 0 && s.now.Sub(l.began) < lookupTime {
			return
		}
	}
	p.dequeue(r)
	s.concludeLookup(r, p)
}

// inferOrigin returns the software that must have begun a stream of which no
// instance has a record, or Unknown if that can't be told. All that answer must
// agree: one that has restarted while several versions served has lost its records
// and can't tell. One of them must have known of all software for as long as the
// stream may have run: what instances list after they all have restarted does not show
// which software left before. listed is set if this instance knows of all software that
// was listed until its caller took the stream up.
func (s *State) inferOrigin(l *lookup, listed bool) origin.Software {
	software := s.soleOrigin(l, listed)
	if software == origin.Unknown && listed {
		return s.deriveOrigin(l)
	}
	return software
}

// soleOrigin is inferOrigin by the software that services are known to have run.
func (s *State) soleOrigin(l *lookup, listed bool) origin.Software {
	software, alone := s.history.Sole(l.services, origin.Time(s.now), l.memory)
	covered := s.history.Covers(origin.Time(s.now), l.memory)
	for _, a := range l.answers {
		if a.Software != software {
			return origin.Unknown
		}
		alone = alone && a.Alone
		covered = covered || a.Covered
	}
	switch {
	case !covered:
		return origin.Unknown
	case alone && listed, s.members.singleInstance():
		return software
	}
	// Others may have begun the stream at newer software. Of the two instances that
	// would keep the record, one at least must have answered that it has none.
	silent := 0
	for _, address := range l.recorders {
		if !slices.Contains(l.answered, address) {
			silent++
		}
	}
	if silent > 1 || len(l.answers) == 0 {
		return origin.Unknown
	}
	return software
}

// concludeLookup binds a request to the software that must have begun its stream,
// or refuses it.
func (s *State) concludeLookup(r *request, p *pool) {
	software := s.inferOrigin(r.lookup, s.listedSince(r.lookup.began))
	if software == origin.Unknown && s.awaitListing(r, p) {
		return
	}
	if software == origin.Unknown {
		s.count(CounterTakenUp, "unknown")
		s.logUnknownOrigin(r)
		r.lookup = nil
		s.refuseHeld(r, StreamOriginUnknown)
		return
	}
	s.originFound(r, p, software, "inferred")
}

// listedSince reports whether this instance knows of all software that was listed until
// a time. One that was cut off or stood still does not, although it may not notice.
func (s *State) listedSince(at Instant) bool { return s.platform.listedAt >= at }

// awaitListing lets a request wait for the platform's confirmation of the list, if the
// origin of its stream can be told with that, and reports whether it does.
func (s *State) awaitListing(r *request, p *pool) bool {
	l := r.lookup
	if s.listedSince(l.began) || s.inferOrigin(l, true) == origin.Unknown || s.now.Sub(l.began) >= lookupTime+listingCheckTime {
		return false
	}
	l.awaitsListing = true
	p.looking = append(p.looking, r)
	if s.now.Sub(s.listingCheckedAt) >= listingCheckInterval {
		s.listingCheckedAt = s.now
		s.emit(CheckListing{After: s.platform.position})
	}
	return true
}

// listingChecked applies the result of a CheckListing effect. After a change the list is
// current once that has been read.
func (s *State) listingChecked(ev ListingChecked) {
	if ev.Unchanged && ev.After == s.platform.position {
		s.platform.listedAt = max(s.platform.listedAt, ev.ReadAt)
	}
}

// logUnknownOrigin logs what was known when the origin of a stream could not be told.
func (s *State) logUnknownOrigin(r *request) {
	l := r.lookup
	_, alone := s.history.Sole(l.services, origin.Time(s.now), l.memory)
	covered, disagreeing := 0, 0
	for _, a := range l.answers {
		if a.Covered {
			covered++
		}
		if a.Alone != alone {
			disagreeing++
		}
	}
	s.log("stream_origin_unknown", "request", r.Name, "resumes", r.Resumes, "asked", len(l.asked),
		"answers", len(l.answers), "answers_covered", covered, "answers_disagreeing", disagreeing,
		"alone", alone, "covered", s.history.Covers(origin.Time(s.now), l.memory), "listed_since", s.listedSince(l.began), "config_age_ms", s.configAge().Milliseconds())
}

// originFound queues a request at the software that began its stream, or refuses it
// if no endpoint runs that any more.
func (s *State) originFound(r *request, p *pool, software origin.Software, source string) {
	if r.lookup != nil {
		r.originSource, r.originWait = source, s.now.Sub(r.lookup.began)
		r.lookup = nil
	} else {
		r.originSource = source
	}
	if !s.bind(r, software) {
		s.count(CounterTakenUp, "gone")
		s.refuseHeld(r, StreamVersionGone)
		return
	}
	s.count(CounterTakenUp, "bound")
	if r.Service != p.service {
		p = s.pool(r.Service)
	}
	p.enqueue(r)
	s.dispatchWaiting(p)
}
