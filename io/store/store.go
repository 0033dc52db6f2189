// Package store reads and writes the platform's key-value service over the published etcd v3 API.
//
// Every call has a deadline. A call that runs into it closes its connection, so that a connection
// that has gone silent is not used again, and the next call goes to the next endpoint.
package store

import (
	"context"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"monsoonstep/core/errs"
	"monsoonstep/core/proto/etcdpb"
	"monsoonstep/core/state"
	"monsoonstep/io/conf"
)

const (
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	// maxMessage is above the megabyte of a value times the records of one page.
	maxMessage = 64 << 20
	pageLimit  = 2000
	// passthrough makes grpc use an address as it is.
	passthrough = "passthrough:///"
)

// Store is a client of the platform's service. It is safe for use by several goroutines.
type Store struct {
	settings conf.Platform

	mu sync.Mutex
	// current is the index of the endpoint in use.
	current int
	// conn is nil until the first call and after a failed one.
	conn *grpc.ClientConn
}

// New returns a client. It connects when it is first used.
func New(settings conf.Platform) *Store { return &Store{settings: settings} }

// Close closes the connection.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		_ = s.conn.Close()
		s.conn = nil
	}
}

// ChangedSince returns the records that changed after a revision, and the revision up to which the caller
// then knows all.
func (s *Store) ChangedSince(ctx context.Context, since state.Revision) ([]state.Record, state.Revision, error) {
	prefix := s.settings.Prefix
	request := &etcdpb.RangeRequest{
		Key:            []byte(prefix),
		RangeEnd:       prefixEnd(prefix),
		MinModRevision: int64(since) + 1,
		Limit:          pageLimit,
	}
	var records []state.Record
	var revision state.Revision
	for {
		response, err := s.readRange(ctx, request)
		if err != nil {
			return nil, 0, err
		}
		for _, kv := range response.GetKvs() {
			records = append(records, s.record(kv))
		}
		if revision == 0 {
			revision = state.Revision(response.GetHeader().GetRevision())
		}
		if !response.GetMore() || len(response.GetKvs()) == 0 {
			return records, revision, nil
		}
		last := response.GetKvs()[len(response.GetKvs())-1].GetKey()
		request.Key = append(append([]byte{}, last...), 0)
		request.Revision = int64(revision)
	}
}

// Get returns the record of a key, and false if there is none.
func (s *Store) Get(ctx context.Context, key state.Key) (state.Record, bool, error) {
	response, err := s.readRange(ctx, &etcdpb.RangeRequest{Key: s.key(key)})
	if err != nil {
		return state.Record{}, false, err
	}
	if len(response.GetKvs()) == 0 {
		return state.Record{}, false, nil
	}
	return s.record(response.GetKvs()[0]), true, nil
}

// CompareAndPut writes a value if the key is still at a revision; 0 means that it does not exist. An
// error of kind Conflict means that it was not written; one of kind StoreDown leaves that open.
func (s *Store) CompareAndPut(ctx context.Context, key state.Key, before state.Revision, value []byte) (state.Revision, error) {
	request := &etcdpb.TxnRequest{
		Compare: []*etcdpb.Compare{{
			Result:      etcdpb.Compare_EQUAL,
			Target:      etcdpb.Compare_MOD,
			Key:         s.key(key),
			TargetUnion: &etcdpb.Compare_ModRevision{ModRevision: int64(before)},
		}},
		Success: []*etcdpb.RequestOp{{Request: &etcdpb.RequestOp_RequestPut{
			RequestPut: &etcdpb.PutRequest{Key: s.key(key), Value: value},
		}}},
	}
	var response *etcdpb.TxnResponse
	err := s.call(ctx, func(ctx context.Context, client etcdpb.KVClient) (err error) {
		response, err = client.Txn(ctx, request)
		return err
	})
	if err != nil {
		return 0, err
	}
	if !response.GetSucceeded() {
		return 0, errs.New(errs.Conflict, "key %q is no longer at revision %d", key, before)
	}
	return state.Revision(response.GetHeader().GetRevision()), nil
}

func (s *Store) readRange(ctx context.Context, request *etcdpb.RangeRequest) (*etcdpb.RangeResponse, error) {
	var response *etcdpb.RangeResponse
	err := s.call(ctx, func(ctx context.Context, client etcdpb.KVClient) (err error) {
		response, err = client.Range(ctx, request)
		return err
	})
	return response, err
}

func (s *Store) call(ctx context.Context, do func(context.Context, etcdpb.KVClient) error) error {
	conn, err := s.connection()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.Timeout)
	defer cancel()
	err = do(ctx, etcdpb.NewKVClient(conn))
	if err == nil {
		return nil
	}
	if code := status.Code(err); code == codes.DeadlineExceeded || code == codes.Unavailable {
		s.drop(conn)
	}
	return errs.Wrap(err, errs.StoreDown, "platform's service at %s did not answer", strings.TrimPrefix(conn.Target(), passthrough))
}

func (s *Store) connection() (*grpc.ClientConn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		return s.conn, nil
	}
	endpoint := s.settings.Endpoints[s.current%len(s.settings.Endpoints)]
	conn, err := grpc.NewClient(passthrough+endpoint.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:    keepaliveTime,
			Timeout: keepaliveTimeout,
		}),
	)
	if err != nil {
		return nil, errs.Wrap(err, errs.StoreDown, "platform's service at %s can't be reached", endpoint)
	}
	s.conn = conn
	return conn, nil
}

// drop closes a connection that failed, so that the next call uses the next endpoint.
func (s *Store) drop(conn *grpc.ClientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == conn {
		_ = conn.Close()
		s.conn = nil
		s.current++
	}
}

func (s *Store) key(k state.Key) []byte { return []byte(s.settings.Prefix + string(k)) }

func (s *Store) record(kv *etcdpb.KeyValue) state.Record {
	return state.Record{
		Key:      state.Key(kv.GetKey()[len(s.settings.Prefix):]),
		Revision: state.Revision(kv.GetModRevision()),
		Value:    kv.GetValue(),
	}
}

// prefixEnd returns the key after all that start with prefix. The prefix ends with a slash.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	end[len(end)-1]++
	return end
}

// GetBefore returns the record that a key had before a revision, as far as the service still has it.
func (s *Store) GetBefore(ctx context.Context, key state.Key, revision state.Revision) (state.Record, bool, error) {
	if revision <= 1 {
		return state.Record{}, false, nil
	}
	response, err := s.readRange(ctx, &etcdpb.RangeRequest{Key: s.key(key), Revision: int64(revision) - 1})
	if err != nil || len(response.GetKvs()) == 0 {
		return state.Record{}, false, err
	}
	return s.record(response.GetKvs()[0]), true, nil
}
