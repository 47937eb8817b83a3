package simprotocol

import (
	"encoding/base64"
	"encoding/binary"
	"math"

	"birchfork/dispatch"
)

// A message between peers consists of one byte for the kind, the low four bytes of the worker's tag, and one byte for the
// slots in eighths. It is encoded in base64.
const (
	peerMessageSize = 6
	tagOffset       = 1
	slotsOffset     = 5
	slotsScale      = 8
)

// decodePeerMessage decodes a message from a peer. known is false if no peer of this version sends such a message.
func decodePeerMessage(encoded []byte) (message dispatch.PeerMessage, known bool) {
	var decoded [2 * peerMessageSize]byte
	if base64.StdEncoding.DecodedLen(len(encoded)) > len(decoded) {
		return message, false
	}
	length, err := base64.StdEncoding.Decode(decoded[:], encoded)
	if err != nil || length != peerMessageSize || decoded[0] > byte(dispatch.OverloadNotice) {
		return message, false
	}
	message = dispatch.PeerMessage{
		Kind:  dispatch.PeerMessageKind(decoded[0]),
		Tag:   uint64(binary.BigEndian.Uint32(decoded[tagOffset:])),
		Slots: float64(decoded[slotsOffset]) / slotsScale,
	}
	return message, true
}

// appendPeerMessage appends the encoded message to buf. It limits the slots to the maximum that the encoding can hold.
func appendPeerMessage(buf []byte, message dispatch.PeerMessage) []byte {
	var encoded [peerMessageSize]byte
	encoded[0] = byte(message.Kind)
	binary.BigEndian.PutUint32(encoded[tagOffset:], uint32(message.Tag))
	encoded[slotsOffset] = byte(min(max(message.Slots*slotsScale, 0), math.MaxUint8))
	return base64.StdEncoding.AppendEncode(buf, encoded[:])
}
