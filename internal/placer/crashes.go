package placer

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/placer/placerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/crashcause"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
)

const (
	// answersTimeout limits a call that asks for answers.
	answersTimeout = 100 * time.Millisecond
	// crashReadInterval is the interval at which a new instance reads from its peers until
	// crashReads of them have answered, or all if they are fewer. One of them may be new as well.
	crashReadInterval = 200 * time.Millisecond
	crashReads        = 3
)

// crashTransport exchanges evidence about crashes with the other instances.
type crashTransport struct {
	placer *Placer
	outbox *outbox[crashcause.Evidence]
}

func newCrashTransport(p *Placer) *crashTransport {
	return &crashTransport{placer: p, outbox: newOutbox(p, "crashes", crashcause.Evidence.Append,
		func(ctx context.Context, client placerpb.DRPCPlacerClient, e crashcause.Evidence) error {
			_, err := client.TellCrashes(ctx, encodeEvidence(e, time.Now()))
			return err
		})}
}

// Tell sends evidence to all other instances. There is some only while servers crash.
func (t *crashTransport) Tell(e crashcause.Evidence) {
	t.outbox.put(e, t.placer.OtherInstances()...)
}

// Ask asks all other instances for their answers, and returns the replies that come in time.
func (t *crashTransport) Ask(ctx context.Context, questions []crashcause.Question) []crashcause.Reply {
	ctx, cancel := context.WithTimeout(ctx, answersTimeout)
	defer cancel()
	others := t.placer.OtherInstances()
	replies := make(chan []crashcause.Reply, len(others))
	for _, address := range others {
		go func() {
			got, err := t.placer.client(address).AskAnswers(ctx, encodeQuestions(questions, time.Now()))
			if err != nil {
				t.placer.log.Debug().Err(err).Str("peer", address).Msg("answers_unknown")
			}
			replies <- decodeReplies(got, time.Now())
		}()
	}
	var all []crashcause.Reply
	for range others {
		all = append(all, <-replies...)
	}
	return all
}

// readAll reads, after the start of this instance, what some of the others know.
func (t *crashTransport) readAll(ctx context.Context) {
	read := map[string]bool{}
	for len(read) < crashReads && pause.For(ctx, crashReadInterval) {
		if t.placer.peerAddresses.Load() == nil {
			continue
		}
		others := slices.DeleteFunc(t.placer.OtherInstances(), func(address string) bool { return read[address] })
		if len(others) == 0 {
			return
		}
		address := others[rand.IntN(len(others))]
		evidence, err := t.readFrom(ctx, address)
		if err == nil {
			t.placer.Merge(decodeEvidence(evidence, time.Now()))
			read[address] = true
			continue
		}
		t.placer.log.Debug().Err(err).Str("peer", address).Msg("crashes_unread")
	}
}

func (t *crashTransport) readFrom(ctx context.Context, address string) (*placerpb.CrashEvidence, error) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	return t.placer.client(address).ReadCrashes(ctx, &placerpb.CrashQuery{})
}

// OtherInstances returns the addresses of the other instances, as far as known.
func (p *Placer) OtherInstances() []string {
	peers := p.peerAddresses.Load()
	if peers == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(*peers), func(address string) bool { return address == p.address })
}

// TellCrashes handles the call of another instance.
func (s *service) TellCrashes(_ context.Context, r *placerpb.CrashEvidence) (*placerpb.CrashesTold, error) {
	s.placer.Merge(decodeEvidence(r, time.Now()))
	return &placerpb.CrashesTold{}, nil
}

// AskAnswers handles the call of another instance.
func (s *service) AskAnswers(_ context.Context, r *placerpb.AnswerQuestions) (*placerpb.AnswerReplies, error) {
	now := time.Now()
	return encodeReplies(s.placer.Reply(decodeQuestions(r, now)), now), nil
}

// ReadCrashes handles the call of another instance.
func (s *service) ReadCrashes(context.Context, *placerpb.CrashQuery) (*placerpb.CrashEvidence, error) {
	return encodeEvidence(s.placer.Evidence(), time.Now()), nil
}

func encodeEvidence(e crashcause.Evidence, now time.Time) *placerpb.CrashEvidence {
	out := &placerpb.CrashEvidence{}
	for _, c := range e.Crashes {
		crash := &placerpb.ServerCrash{Server: c.Server.ID, Born: c.Server.StartedAt, AgeUs: ageUs(c.At, now)}
		for _, r := range c.Requests {
			crash.Requests = append(crash.Requests, &placerpb.CrashRequest{Parts: r.Prompt, Service: r.Service, Digest: r.Digest, SentAgeUs: ageUs(r.SentAt, now)})
		}
		out.Crashes = append(out.Crashes, crash)
	}
	for _, b := range e.Blocks {
		out.Blocks = append(out.Blocks, &placerpb.BlockedTrait{
			Trait: b.Trait, RemainingUs: uint64(max(b.Until.Sub(now), 0).Microseconds()), Blocks: uint32(b.Blocks), Crashes: uint32(b.Crashes),
			LastCrashAgeUs: ageUs(b.LastCrash, now),
		})
	}
	for _, a := range e.Answers {
		out.Answers = append(out.Answers, &placerpb.AnsweredTrait{Trait: a.Trait, AgeUs: ageUs(a.At, now)})
	}
	return out
}

func decodeEvidence(e *placerpb.CrashEvidence, now time.Time) crashcause.Evidence {
	var out crashcause.Evidence
	for _, c := range e.Crashes {
		crash := crashcause.Crash{Server: crashcause.Server{ID: c.Server, StartedAt: c.Born}, At: before(now, c.AgeUs)}
		for _, r := range c.Requests {
			crash.Requests = append(crash.Requests, crashcause.LostRequest{
				Request: crashcause.Request{Prompt: r.Parts, Service: r.Service, Digest: r.Digest}, SentAt: before(now, r.SentAgeUs),
			})
		}
		out.Crashes = append(out.Crashes, crash)
	}
	for _, b := range e.Blocks {
		out.Blocks = append(out.Blocks, crashcause.Block{
			Trait: b.Trait, Until: now.Add(microseconds(b.RemainingUs)), Blocks: int(min(b.Blocks, maxBlockCount)), Crashes: int(b.Crashes),
			LastCrash: before(now, b.LastCrashAgeUs),
		})
	}
	for _, a := range e.Answers {
		out.Answers = append(out.Answers, crashcause.Answer{Trait: a.Trait, At: before(now, a.AgeUs)})
	}
	return out
}

func encodeQuestions(questions []crashcause.Question, now time.Time) *placerpb.AnswerQuestions {
	out := &placerpb.AnswerQuestions{}
	for _, q := range questions {
		out.Questions = append(out.Questions, &placerpb.AnswerQuestion{Trait: q.Trait, Service: q.Service, AgeUs: ageUs(q.Since, now)})
	}
	return out
}

func decodeQuestions(r *placerpb.AnswerQuestions, now time.Time) []crashcause.Question {
	out := make([]crashcause.Question, 0, len(r.Questions))
	for _, q := range r.Questions {
		out = append(out, crashcause.Question{Trait: q.Trait, Service: q.Service, Since: before(now, q.AgeUs)})
	}
	return out
}

func encodeReplies(replies []crashcause.Reply, now time.Time) *placerpb.AnswerReplies {
	out := &placerpb.AnswerReplies{}
	for _, r := range replies {
		reply := &placerpb.AnswerReply{Trait: r.Trait, Answers: uint64(max(r.Answers, 0)), Answered: !r.AnsweredAt.IsZero()}
		if reply.Answered {
			reply.AgeUs = ageUs(r.AnsweredAt, now)
		}
		out.Replies = append(out.Replies, reply)
	}
	return out
}

func decodeReplies(r *placerpb.AnswerReplies, now time.Time) []crashcause.Reply {
	out := make([]crashcause.Reply, 0, len(r.GetReplies()))
	for _, reply := range r.GetReplies() {
		decoded := crashcause.Reply{Trait: reply.Trait, Answers: int64(min(reply.Answers, math.MaxInt32))}
		if reply.Answered {
			decoded.AnsweredAt = before(now, reply.AgeUs)
		}
		out = append(out, decoded)
	}
	return out
}

const (
	// maxEvidenceAge bounds the times in evidence, and maxBlockCount the counts of blocks, which
	// a faulty peer could exaggerate.
	maxEvidenceAge = 24 * time.Hour
	maxBlockCount  = 1 << 8
)

func ageUs(at, now time.Time) uint64 { return uint64(max(now.Sub(at), 0).Microseconds()) }

func before(now time.Time, ageUs uint64) time.Time { return now.Add(-microseconds(ageUs)) }

func microseconds(us uint64) time.Duration {
	return time.Duration(min(us, uint64(maxEvidenceAge.Microseconds()))) * time.Microsecond
}
