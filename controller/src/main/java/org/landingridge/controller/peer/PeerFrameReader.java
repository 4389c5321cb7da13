package org.landingridge.controller.peer;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSourceChannel;

/** Reads frames from another controller's connection until it ends. A frame is a four-byte length followed by one record. */
final class PeerFrameReader {
    private static final Logger LOG = LoggerFactory.getLogger(XnioPeerTransport.class);
    private static final int LENGTH_BYTES = 4;
    private static final int INITIAL_BUFFER_BYTES = 2048;
    private final StreamConnection connection;
    private final Consumer<PeerMessage> receiver;
    private ByteBuffer buffer = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);

    PeerFrameReader(StreamConnection connection, Consumer<PeerMessage> receiver) {
        this.connection = connection;
        this.receiver = receiver;
    }

    void start() {
        ConduitStreamSourceChannel source = connection.getSourceChannel();
        source.setReadListener(this::readAvailable);
        source.resumeReads();
    }

    private void readAvailable(ConduitStreamSourceChannel source) {
        try {
            int bytesRead;
            while ((bytesRead = source.read(buffer)) > 0) {
                deliverFrames();
            }
            if (bytesRead < 0) {
                IoUtils.safeClose(connection);
            }
        } catch (IOException e) {
            LOG.debug("peer connection failed, error={}", e.toString());
            IoUtils.safeClose(connection);
        }
    }

    private void deliverFrames() throws IOException {
        buffer.flip();
        while (buffer.remaining() >= LENGTH_BYTES) {
            int length = buffer.getInt(buffer.position());
            if (length < 1 || length > PeerMessage.MAX_BYTES) {
                throw new IOException(
                        "peer frame: length " + length + " is not between 1 and " + PeerMessage.MAX_BYTES);
            }
            if (buffer.remaining() < LENGTH_BYTES + length) {
                if (buffer.capacity() < LENGTH_BYTES + length) {
                    growBuffer(LENGTH_BYTES + length);
                    return;
                }
                break;
            }
            buffer.getInt();
            byte[] frame = new byte[length];
            buffer.get(frame);
            deliverFrame(frame);
        }
        buffer.compact();
    }

    private void growBuffer(int capacity) {
        ByteBuffer larger = ByteBuffer.allocate(capacity);
        larger.put(buffer);
        buffer = larger;
    }

    private void deliverFrame(byte[] frame) {
        PeerMessage message;
        try {
            message = PeerMessage.decode(new DataInputStream(new ByteArrayInputStream(frame)));
        } catch (IOException e) {
            // The frame's length is known, so the frames after it can still be read.
            LOG.warn("unreadable peer record dropped, bytes={} error={}", frame.length, e.toString());
            return;
        }
        try {
            receiver.accept(message);
        } catch (RuntimeException e) {
            LOG.error("handling a peer message failed, sender={}", message.host(), e);
        }
    }
}
