// Package store is the client of the platform's key-value service. It uses the published etcd v3 API.
//
// Every call has a deadline. A call that exceeds it, or that finds the service unavailable, closes the connection. An
// unresponsive connection is thus not used again, and the next call goes to the next endpoint.
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
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 3 * time.Second
	// maxMessageBytes is the longest response that is accepted. A page of maxPageRecords records fits if they have about
	// 33 kB on average; a single value may have a megabyte.
	maxMessageBytes = 64 << 20
	maxPageRecords  = 2000
	// passthroughScheme makes gRPC connect to an address as it is, without resolving it as a name.
	passthroughScheme = "passthrough:///"
)

// Store is a client of the platform's key-value service. It is safe for concurrent use.
type Store struct {
	settings conf.Platform

	mu sync.Mutex
	// endpointIndex selects the endpoint in use, modulo the number of endpoints.
	endpointIndex int
	// conn is the connection to that endpoint; nil before the first call, after Close, and after a call that timed out or
	// found the service unavailable.
	conn *grpc.ClientConn
}

// New returns a client. It connects at the first call.
func New(settings conf.Platform) *Store { return &Store{settings: settings} }

// Close closes the connection. A later call opens a new one.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		_ = s.conn.Close()
		s.conn = nil
	}
}

// ChangedSince returns the records that changed after the revision since, and the revision up to which the caller then knows
// all changes. It reads page by page, all pages at the same revision.
func (s *Store) ChangedSince(ctx context.Context, since state.Revision) ([]state.Record, state.Revision, error) {
	prefix := s.settings.Prefix
	request := &etcdpb.RangeRequest{
		Key:            []byte(prefix),
		RangeEnd:       prefixEnd(prefix),
		MinModRevision: int64(since) + 1,
		Limit:          maxPageRecords,
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

// Get returns the record of a key, or false if the key does not exist.
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

// CompareAndPut writes a value if the key is still at the expected revision, where 0 means that the key does not exist, and
// returns the new revision. An error of kind Conflict means that the value was not written. After an error of kind StoreDown,
// it may or may not have been written.
func (s *Store) CompareAndPut(ctx context.Context, key state.Key, expected state.Revision, value []byte) (state.Revision, error) {
	request := &etcdpb.TxnRequest{
		Compare: []*etcdpb.Compare{{
			Result:      etcdpb.Compare_EQUAL,
			Target:      etcdpb.Compare_MOD,
			Key:         s.key(key),
			TargetUnion: &etcdpb.Compare_ModRevision{ModRevision: int64(expected)},
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
		return 0, errs.New(errs.Conflict, "key %q is no longer at revision %d", key, expected)
	}
	return state.Revision(response.GetHeader().GetRevision()), nil
}

// readRange makes one range request, which reads one page of records.
func (s *Store) readRange(ctx context.Context, request *etcdpb.RangeRequest) (*etcdpb.RangeResponse, error) {
	var response *etcdpb.RangeResponse
	err := s.call(ctx, func(ctx context.Context, client etcdpb.KVClient) (err error) {
		response, err = client.Range(ctx, request)
		return err
	})
	return response, err
}

// call makes one call with the timeout of the settings. After a timeout, or if the service is unavailable, it closes the
// connection, so that the next call goes to the next endpoint.
func (s *Store) call(ctx context.Context, rpc func(context.Context, etcdpb.KVClient) error) error {
	conn, err := s.connection()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.Timeout)
	defer cancel()
	err = rpc(ctx, etcdpb.NewKVClient(conn))
	if err == nil {
		return nil
	}
	if code := status.Code(err); code == codes.DeadlineExceeded || code == codes.Unavailable {
		s.closeFailed(conn)
	}
	return errs.Wrap(err, errs.StoreDown, "platform's service at %s did not answer", strings.TrimPrefix(conn.Target(), passthroughScheme))
}

// connection returns the open connection, or a new one to the endpoint in use. gRPC dials at the first call.
func (s *Store) connection() (*grpc.ClientConn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		return s.conn, nil
	}
	endpoint := s.settings.Endpoints[s.endpointIndex%len(s.settings.Endpoints)]
	conn, err := grpc.NewClient(passthroughScheme+endpoint.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:    keepaliveInterval,
			Timeout: keepaliveTimeout,
		}),
	)
	if err != nil {
		return nil, errs.Wrap(err, errs.StoreDown, "platform's service at %s can't be reached", endpoint)
	}
	s.conn = conn
	return conn, nil
}

// closeFailed closes a connection on which a call failed and selects the next endpoint, unless another goroutine has done so.
func (s *Store) closeFailed(conn *grpc.ClientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == conn {
		_ = conn.Close()
		s.conn = nil
		s.endpointIndex++
	}
}

// key returns the full key in the service: the fleet's prefix followed by k.
func (s *Store) key(k state.Key) []byte { return []byte(s.settings.Prefix + string(k)) }

// record returns the record of a key-value pair, without the fleet's prefix in its key.
func (s *Store) record(kv *etcdpb.KeyValue) state.Record {
	return state.Record{
		Key:      state.Key(kv.GetKey()[len(s.settings.Prefix):]),
		Revision: state.Revision(kv.GetModRevision()),
		Value:    kv.GetValue(),
	}
}

// prefixEnd returns the end, exclusive, of the range of keys that start with prefix: the prefix with its last byte raised by
// one. That byte is a slash, so it does not overflow.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	end[len(end)-1]++
	return end
}

// GetBefore returns the record that a key had just before a revision, or false if the key did not exist then. It returns an
// error if the service has compacted that revision.
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
