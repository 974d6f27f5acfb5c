package peer

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/balsamstair/balsamstair/internal/peer/peerpb"
)

func readBytes(b []byte) (*peerpb.Frame, kind, int, error) {
	return readFrame(bufio.NewReaderSize(bytes.NewReader(b), readBufferBytes))
}

func TestFrameRoundTrip(t *testing.T) {
	for _, f := range []*peerpb.Frame{ask(1), heartbeat(100), heartbeat(60_000), fileReply(0), fileReply(3 << 20), {}} {
		encoded, ok := encodeFrame(9, f)
		must.True(t, ok)
		must.Eq(t, 0, f.GetFrom())
		got, k, size, err := readBytes(encoded.bytes)
		must.NoError(t, err)
		must.Eq(t, encoded.kind, k)
		must.Eq(t, len(encoded.bytes), size)
		f.From = 9
		must.True(t, proto.Equal(f, got))
		// The sender that a frame names itself is kept.
		again, ok := encodeFrame(10, f)
		must.True(t, ok)
		must.True(t, bytes.Equal(encoded.bytes, again.bytes))
	}
}

func TestFrameSizeLimits(t *testing.T) {
	for _, f := range []*peerpb.Frame{heartbeat(MaxFrameBytes), fileReply(MaxFileReplyBytes)} {
		_, ok := encodeFrame(9, f)
		must.False(t, ok)
		// The reader detects a frame of a sender that ignores the limits.
		f.From = 9
		var b bytes.Buffer
		_, err := protodelim.MarshalTo(&b, f)
		must.NoError(t, err)
		_, _, _, err = readBytes(b.Bytes())
		must.ErrorIs(t, err, errProtocol)
	}
	// A large frame that starts like a FileReply and ends as another kind.
	b := protowire.AppendVarint(nil, MaxFrameBytes+100)
	b = protowire.AppendTag(b, fromField, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, 9)
	b = protowire.AppendTag(b, protowire.Number(kindFileReply), protowire.BytesType)
	b = protowire.AppendBytes(b, nil)
	b = protowire.AppendTag(b, 3, protowire.BytesType)
	b = protowire.AppendBytes(b, make([]byte, MaxFrameBytes+100-9-2-4))
	_, _, _, err := readBytes(b)
	must.ErrorIs(t, err, errProtocol)
}

func TestTruncatedAndMalformedInput(t *testing.T) {
	encoded, _ := encodeFrame(9, fileReply(100_000))
	for _, n := range []int{1, 2, 3, 10, 1000, len(encoded.bytes) - 1} {
		_, _, _, err := readBytes(encoded.bytes[:n])
		must.Error(t, err)
		must.False(t, errors.Is(err, errProtocol))
		must.NotEq(t, io.EOF, err)
	}
	_, _, _, err := readBytes(nil)
	must.Eq(t, io.EOF, err)
	for _, garbage := range []string{
		"\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff",
		"\x80\x80\x80\x80\x80\x01aaaaaaaaaaaaaaaa", "\x05\xff\xff\xff\xff\xff", "GET / HTTP/1.1\r\n\r\n" + string(make([]byte, 100)),
	} {
		_, _, _, err := readBytes([]byte(garbage))
		must.ErrorIs(t, err, errProtocol)
	}
}

func FuzzReadFrame(f *testing.F) {
	for _, frame := range []*peerpb.Frame{ask(1), heartbeat(3), fileReply(5), {}} {
		encoded, _ := encodeFrame(9, frame)
		f.Add(encoded.bytes)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		frame, k, size, err := readBytes(b)
		if err != nil {
			return
		}
		must.Between(t, 1, size, len(b))
		must.Between(t, 0, int(k), kindLimit-1)
		if frame.GetFrom() != 0 {
			_, ok := encodeFrame(1, frame)
			must.True(t, ok)
		}
	})
}

func TestEveryKindHasACounter(t *testing.T) {
	fields := bodyOneof.Fields()
	must.Positive(t, fields.Len())
	for i := range fields.Len() {
		number := int(fields.Get(i).Number())
		must.Less(t, kindLimit, number)
		must.Eq(t, string(fields.Get(i).Name()), kindNames[number])
	}
	must.Eq(t, "hello", kindNames[kindHello])
	must.Eq(t, "file_reply", kindNames[kindFileReply])
}
