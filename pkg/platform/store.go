// Package platform is a client for the platform's table store, object store and box list. Only
// this package depends on their protocol; a package for another platform would have the same
// methods.
package platform

import (
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/quaylead/quaylead/pkg/answer"
	"github.com/quaylead/quaylead/pkg/settings"
)

// ConflictError reports that a conditional write found another version of a row than it
// expected. Nothing was written.
type ConflictError struct {
	Table, Key string
}

// Error names the row.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %s/%s is not as expected", e.Table, e.Key)
}

// NotFoundError reports that a row or object does not exist.
type NotFoundError struct {
	Path string
}

// Error names the path.
func (e *NotFoundError) Error() string {
	return "nothing at " + e.Path
}

// UnavailableError reports that the store gave no usable response. A write may or may not have
// taken effect; only a read shows which.
type UnavailableError struct {
	Path   string
	Status int
	Err    error
}

// Error names the path and the cause.
func (e *UnavailableError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("store unavailable at %s: %v", e.Path, e.Err)
	}
	return fmt.Sprintf("store unavailable at %s: status %d", e.Path, e.Status)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Err
}

// Row is a row of a table with the version that conditional writes refer to.
type Row struct {
	Value   []byte
	Version string
}

// Store is a client of the platform. Its fields are set before the first call.
type Store struct {
	// Settings contain the platform's address and paths.
	Settings settings.Platform

	once   sync.Once
	client *fasthttp.HostClient
}

// Condition is the precondition of a write: one of Absent, Current and Any.
type Condition interface {
	condition()
}

// Absent requires that the row does not exist.
type Absent struct{}

// Current requires that the row has this version.
type Current struct {
	Version string
}

// Any requires nothing.
type Any struct{}

func (Absent) condition()  {}
func (Current) condition() {}
func (Any) condition()     {}

// Get reads a row.
func (s *Store) Get(table, key string) (row Row, err error) {
	response := &fasthttp.Response{}
	path := s.rowPath(table, key)
	if err := s.call(fasthttp.MethodGet, path, nil, nil, response); err != nil {
		return Row{}, trace.Wrap(err)
	}
	return Row{
		Value:   response.Body(),
		Version: string(response.Header.Peek(fasthttp.HeaderETag)),
	}, nil
}

// Put writes a row if the condition holds and returns its new version.
func (s *Store) Put(table, key string, value []byte, when Condition) (version string, err error) {
	response := &fasthttp.Response{}
	path := s.rowPath(table, key)
	err = s.call(fasthttp.MethodPut, path, value, conditionHeaders(when), response)
	if err != nil {
		return "", trace.Wrap(s.withRow(err, table, key))
	}
	return string(response.Header.Peek(fasthttp.HeaderETag)), nil
}

// Delete removes a row if it still has the version.
func (s *Store) Delete(table, key, version string) (err error) {
	response := &fasthttp.Response{}
	path := s.rowPath(table, key)
	err = s.call(fasthttp.MethodDelete, path, nil, conditionHeaders(Current{version}), response)
	return trace.Wrap(s.withRow(err, table, key))
}

// Write is one conditional write of a transaction.
type Write struct {
	Table string
	Key   string
	// Value is the new content, as JSON.
	Value json.RawMessage
	// IfAbsent and IfVersion are the condition; without both there is none.
	IfAbsent  bool
	IfVersion string
}

// Transact performs all writes or none. A *ConflictError names the first row whose condition
// did not hold.
func (s *Store) Transact(writes []Write) (err error) {
	defer func() { err = trace.Wrap(err) }()
	body, err := json.Marshal(writes)
	if err != nil {
		return err
	}
	response := &fasthttp.Response{}
	err = s.call(fasthttp.MethodPost, s.Settings.TransactionPath, body, nil, response)
	if _, conflict := trace.Unwrap(err).(*ConflictError); !conflict {
		return err
	}
	named := &ConflictError{}
	if json.Unmarshal(response.Body(), named) != nil {
		return err
	}
	return named
}

// PutObject stores an object under a key whose content never changes.
func (s *Store) PutObject(key string, value []byte) error {
	response := &fasthttp.Response{}
	return trace.Wrap(s.call(fasthttp.MethodPut, s.objectPath(key), value, nil, response))
}

// GetObject reads an object.
func (s *Store) GetObject(key string) ([]byte, error) {
	response := &fasthttp.Response{}
	if err := s.call(fasthttp.MethodGet, s.objectPath(key), nil, nil, response); err != nil {
		return nil, trace.Wrap(err)
	}
	return response.Body(), nil
}

// ListedBox is an entry of the platform's box list.
type ListedBox struct {
	Name    string
	Address string
	Zone    string
	// Role is "router" or "endpoint".
	Role string
	// State is "live" or "leaving".
	State string
}

// The roles and states of listed boxes.
const (
	RouterRole   = "router"
	EndpointRole = "endpoint"
	LeavingState = "leaving"
)

// Boxes reads the box list, which lags behind the actual state.
func (s *Store) Boxes() (boxes []ListedBox, err error) {
	defer func() { err = trace.Wrap(err) }()
	response := &fasthttp.Response{}
	if err := s.call(fasthttp.MethodGet, s.Settings.BoxListPath, nil, nil, response); err != nil {
		return nil, err
	}
	err = json.Unmarshal(response.Body(), &boxes)
	return boxes, err
}

func (s *Store) rowPath(table, key string) string {
	return s.Settings.TablePath + "/" + url.PathEscape(table) + "/" + url.PathEscape(key)
}

func (s *Store) objectPath(key string) string {
	return s.Settings.ObjectPath + "/" + url.PathEscape(key)
}

func conditionHeaders(when Condition) map[string]string {
	switch when := when.(type) {
	case Absent:
		return map[string]string{fasthttp.HeaderIfNoneMatch: "*"}
	case Current:
		return map[string]string{fasthttp.HeaderIfMatch: when.Version}
	default:
		return nil
	}
}

// withRow adds the row's name to a conflict.
func (s *Store) withRow(err error, table, key string) error {
	if _, ok := trace.Unwrap(err).(*ConflictError); ok {
		return &ConflictError{Table: table, Key: key}
	}
	return err
}

// call sends one request, once. The library's own retries are disabled, since a write may have
// taken effect although its response was lost.
func (s *Store) call(method, path string, body []byte, headers map[string]string, response *fasthttp.Response) error {
	s.once.Do(s.open)
	request := &fasthttp.Request{}
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + s.Settings.Address + path)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	request.SetBodyRaw(body)
	err := s.client.DoTimeout(request, response, s.Settings.Timeout.Duration)
	if err != nil {
		return &UnavailableError{Path: path, Err: err}
	}
	switch status := response.StatusCode(); {
	case status < 300:
		return nil
	case status == fasthttp.StatusNotFound:
		return &NotFoundError{Path: path}
	case status == fasthttp.StatusPreconditionFailed:
		return &ConflictError{}
	default:
		return &UnavailableError{Path: path, Status: status}
	}
}

// maxStoreConns bounds the connections of one box to the platform.
const maxStoreConns = 32

func (s *Store) open() {
	s.client = &fasthttp.HostClient{
		Addr:                      s.Settings.Address,
		MaxConns:                  maxStoreConns,
		MaxConnWaitTimeout:        s.Settings.Timeout.Duration,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
		Dial: func(address string) (net.Conn, error) {
			return answer.Dial(address, min(s.Settings.Timeout.Duration, time.Second))
		},
		NoDefaultUserAgentHeader: true,
	}
}
