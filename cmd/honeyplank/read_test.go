package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"honeyplank/scheduler"
	"honeyplank/settings"
)

var (
	errContent = &scheduler.ConfigError{File: "config.json", Line: 3, Wrong: "unexpected end of JSON input", Want: "one JSON object"}
	errUnread  = &scheduler.ConfigError{File: "config.json", Wrong: "open config.json: too many open files", Want: "the configuration that the platform writes"}
)

// fails is a reader that fails so many times, and then reads a 7.
func fails(err error, times int) reader[int] {
	return reader[int]{func() (int, error) {
		if times > 0 {
			times--
			return 0, err
		}
		return 7, nil
	}, unread, zerolog.Nop()}
}

// TestLoad: an error that passes is waited for, one that lasts is told as it is and in bounded time.
func TestLoad(t *testing.T) {
	lasting := 1 << 30
	for _, c := range []struct {
		err      error
		times    int
		least    time.Duration // the time it takes; at most one wait more
		succeeds bool
	}{
		{nil, 0, 0, true},
		{errUnread, 1, 20 * time.Millisecond, true},
		{errUnread, 6, 1100 * time.Millisecond, true},
		{errUnread, lasting, readWithin - reading.Max, false},
		{syscall.EIO, 3, 140 * time.Millisecond, true},
		{errContent, 4, 300 * time.Millisecond, true},
		{errContent, lasting, 300 * time.Millisecond, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			got, err := fails(c.err, c.times).load(t.Context(), nil)
			took := time.Since(began)
			if took < c.least || took > c.least+reading.Max || c.succeeds != (got == 7) || !c.succeeds && err != c.err || c.succeeds && err != nil {
				t.Errorf("%v, %d times: %d, %v after %v", c.err, c.times, got, err, took)
			}
		})
	}
}

// TestFollow: a signal while the read is tried again starts over, several end with the newest file, the end of the
// context is heard at any time.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		anew, taken := make(chan os.Signal, 1), []int64(nil)
		var wrong atomic.Bool
		var newest atomic.Int64
		hang := func() {
			select {
			case anew <- syscall.SIGHUP:
			default: // as signal.Notify drops it
			}
		}
		wrong.Store(true)
		newest.Store(1)
		r := reader[int64]{func() (int64, error) {
			if wrong.Load() {
				return 0, errContent
			}
			return newest.Load(), nil
		}, unread, zerolog.Nop()}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { r.follow(ctx, anew, func(n int64) { taken = append(taken, n) }); close(ended) }()
		for range 4 { // each before the time of the one before is up; four are more than the time of one
			hang()
			time.Sleep(replaceWithin / 2)
		}
		wrong.Store(false)
		time.Sleep(replaceWithin)
		synctest.Wait()
		if fmt.Sprint(taken) != "[1]" {
			t.Errorf("taken over: %v", taken)
		}
		for n := range int64(8) {
			newest.Store(2 + n)
			hang()
		}
		synctest.Wait()
		if len(taken) == 0 || taken[len(taken)-1] != 9 {
			t.Errorf("taken over: %v", taken)
		}
		wrong.Store(true)
		had := len(taken)
		hang()
		time.Sleep(2 * replaceWithin) // given up: what was taken stays, and the next signal is heard
		wrong.Store(false)
		hang()
		synctest.Wait()
		if len(taken) != had+1 {
			t.Errorf("taken over: %v", taken)
		}
		wrong.Store(true)
		hang()
		synctest.Wait()
		cancel()
		began := time.Now()
		<-ended
		if time.Since(began) > 0 {
			t.Errorf("it ended only after %v", time.Since(began))
		}
	})
}

// TestMomentary: settings that can't be read for a moment are read again; any other error is told at once.
func TestMomentary(t *testing.T) {
	for _, c := range []struct {
		err   error
		tries int
	}{
		{&os.PathError{Op: "open", Path: "x", Err: syscall.EMFILE}, 3}, {&os.PathError{Op: "read", Path: "x", Err: syscall.EIO}, 3},
		{usageError{os.ErrNotExist}, 1}, {&settings.Error{}, 1}, {errors.New("its checksum is wrong"), 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			tries := 0
			_, err := patiently(zerolog.Nop(), "x", func(string) (int, error) {
				if tries++; tries == 3 {
					return 0, nil
				}
				return 0, c.err
			})
			if tries != c.tries || (err == nil) != (c.tries == 3) {
				t.Errorf("%v: %v after %d attempts", c.err, err, tries)
			}
		})
	}
}
