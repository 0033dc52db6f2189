package agent

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"time"

	"monsoonstep/core/coord/dedup"
	"monsoonstep/core/errs"
	"monsoonstep/core/proto/wire/wirepb"
	"monsoonstep/core/state"
	"monsoonstep/io/peers"
)

// handOverTimeout limits the whole hand-over, to all new owners.
const handOverTimeout = 5 * time.Second

// handOver stops this process from owning idempotency keys and sends each record to the agent that will own
// its key. It returns the number of records that could not be handed over.
func (k *atMostOnce) handOver(ctx context.Context, service state.ServiceName) int {
	k.mu.Lock()
	k.handingOver = true
	records := k.store.Records()
	k.mu.Unlock()
	lost := 0
	byOwner := make(map[state.InstanceID][]dedup.Record)
	candidatesAfterLeave := k.candidatesAfterLeave(service)
	for _, r := range records {
		owner, finding := k.owners.Find(r.Key, candidatesAfterLeave)
		if finding != dedup.Owned {
			lost++
			continue
		}
		byOwner[owner] = append(byOwner[owner], r)
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for owner, list := range byOwner {
		m, ok := k.view().Agent(service, owner)
		if !ok || k.sendRecords(ctx, m.Peer, list) != nil {
			lost += len(list)
		}
	}
	return lost
}

// candidatesAfterLeave returns the candidates for owning keys as they will be when this process has left.
func (k *atMostOnce) candidatesAfterLeave(service state.ServiceName) []dedup.Candidate {
	candidates := k.view().KeyCandidates(service)
	for i := range candidates {
		if candidates[i].ID == k.self() {
			candidates[i].Left = true
		}
	}
	return candidates
}

// sendRecords sends records to the agent at a peer address and waits until it has imported them.
func (k *atMostOnce) sendRecords(ctx context.Context, to netip.AddrPort, records []dedup.Record) error {
	conn, err := k.peerClient.pool.ReadyConn(ctx, to)
	if err != nil {
		return err
	}
	stream, err := wirepb.NewPeerClient(conn).HandOver(ctx)
	if err != nil {
		return errs.Wrap(err, errs.OwnerUnavailable, "hand-over of idempotency keys to %s failed", to)
	}
	for _, r := range records {
		if err := stream.Send(outcomeToPB(r)); err != nil {
			return errs.Wrap(err, errs.OwnerUnavailable, "hand-over of idempotency keys to %s failed", to)
		}
	}
	if _, err := stream.CloseAndRecv(); err != nil {
		return errs.Wrap(err, errs.OwnerUnavailable, "hand-over of idempotency keys to %s failed", to)
	}
	return nil
}

// receiveRecords imports the records of an agent that is leaving.
func (k *atMostOnce) receiveRecords(stream peers.OutcomeStream) error {
	imported := uint32(0)
	for {
		pb, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&wirepb.HandOverReply{Taken: imported})
		}
		if err != nil {
			return err
		}
		r, err := outcomeFromPB(pb)
		if err != nil {
			return err
		}
		k.mu.Lock()
		if k.store.Import(time.Now(), r) {
			imported++
		}
		k.mu.Unlock()
	}
}

func outcomeToPB(r dedup.Record) *wirepb.Outcome {
	pb := &wirepb.Outcome{
		Key:         r.Key.ID.String(),
		Fingerprint: r.Fingerprint,
		State:       uint32(r.Status),
		Head:        &wirepb.Head{Status: int32(r.Response.Code)},
		Body:        r.Response.Body,
		KeptUntil:   int64(r.KeptUntil),
	}
	for _, h := range r.Response.Headers {
		pb.Head.Headers = append(pb.Head.Headers, &wirepb.Header{Name: h.Name, Values: h.Values})
	}
	return pb
}

func outcomeFromPB(pb *wirepb.Outcome) (dedup.Record, error) {
	key, err := dedup.ParseKey(pb.GetKey())
	if err != nil {
		return dedup.Record{}, err
	}
	r := dedup.Record{
		Key:         key,
		Fingerprint: pb.GetFingerprint(),
		Status:      dedup.Status(min(pb.GetState(), uint32(dedup.Unknown))),
		Response:    dedup.Response{Code: int(pb.GetHead().GetStatus()), Body: pb.GetBody()},
		KeptUntil:   state.Millis(pb.GetKeptUntil()),
	}
	for _, h := range pb.GetHead().GetHeaders() {
		r.Response.Headers = append(r.Response.Headers, dedup.Header{Name: h.GetName(), Values: h.GetValues()})
	}
	return r, nil
}
