package fake

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"

	"caperlatch/internal/golden"
	"caperlatch/internal/wire"
)

// TestUnknownFields checks that the messages of the fakes get unknown fields in the share that is asked for, that these
// differ by the seed, and that they do not change what a receiver decodes.
func TestUnknownFields(t *testing.T) {
	const messages = 400
	for _, goType := range []reflect.Type{
		reflect.TypeFor[wire.Heartbeat](), reflect.TypeFor[wire.Job](), reflect.TypeFor[wire.HeartbeatResponse](), reflect.TypeFor[wire.InstanceTypeList](),
		reflect.TypeFor[wire.InstancePage](), reflect.TypeFor[wire.KeyPage](), reflect.TypeFor[wire.WatchResponse](), reflect.TypeFor[wire.TxnResponse](),
	} {
		t.Run(goType.Name(), func(t *testing.T) {
			want := golden.Filled(goType).Interface()
			message, err := wire.Marshal(want)
			if err != nil {
				t.Fatal(err)
			}
			extended := map[string]bool{}
			for seed := range uint64(messages) {
				got := NewUnknownFields(seed, 0.5).extend(message)
				if !bytes.Equal(got, NewUnknownFields(seed, 0.5).extend(message)) {
					t.Fatalf("seed %d: two calls add different fields", seed)
				}
				decoded := reflect.New(goType)
				if err := wire.Unmarshal(got, decoded.Interface()); err != nil || !reflect.DeepEqual(decoded.Elem().Interface(), want) {
					t.Fatalf("seed %d: decoded %+v, error %v, want %+v", seed, decoded.Elem(), err, want)
				}
				if len(got) > len(message)+maxFieldsPerMap {
					extended[string(got)] = true
				}
			}
			// A message with one map gets fields with a probability of 0.5 times extendedMapShare.
			if least := messages / 10; len(extended) < least {
				t.Errorf("%d of %d messages have different unknown fields, want at least %d", len(extended), messages, least)
			}
			if got := NewUnknownFields(1, 0).extend(message); !bytes.Equal(got, message) {
				t.Errorf("share 0: the message has changed: %x", got)
			}
		})
	}
	for _, message := range []any{nil, "text", []int{1}, map[int]int{1: 2}} {
		b := mustEncode(message)
		var got, want any
		if err := wire.Unmarshal(NewUnknownFields(1, 1).extend(b), &got); fmt.Sprint(err) != fmt.Sprint(wire.Unmarshal(b, &want)) || !reflect.DeepEqual(got, want) {
			t.Errorf("%v: got %v, want it unchanged", message, got)
		}
	}
}
