package org.landingridge.net;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * The memory that large request bodies take, from the first byte until the request is answered. Small bodies are not counted:
 * the number of connections bounds them. Used on the event loop's I/O thread only.
 */
final class BodyMemory {
    /** Bodies up to this size are small. */
    static final int SMALL_BODY_BYTES = 4 * 1024;

    private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
    private static final AttachmentKey<Reservation> RESERVATION = AttachmentKey.create(Reservation.class);
    /** Time in which a large body has to arrive; users wait 5 s for an answer, workers 4 s. */
    private static final int RECEIVE_TIMEOUT_MS = 10_000;

    private final long limitBytes;
    private long reservedBytes;
    /** A request was refused since less than half of the memory was reserved. */
    private boolean refusing;

    /** Memory of a size in bytes, none of which is reserved. */
    BodyMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Reserves memory for the body of the request until it is answered; returns false if there is not enough. */
    boolean reserve(HttpServerExchange exchange, int bytes) {
        if (bytes <= SMALL_BODY_BYTES) {
            return true;
        }
        if (reservedBytes + bytes > limitBytes) {
            logRefusal(bytes);
            return false;
        }
        Reservation reservation = reservationOf(exchange.getConnection());
        reservation.begin(exchange, bytes);
        exchange.addExchangeCompleteListener((completed, next) -> {
            reservation.end();
            next.proceed();
        });
        return true;
    }

    private void logRefusal(int bytes) {
        if (!refusing) {
            refusing = true;
            LOG.warn(
                    "large request bodies refused until others are answered, bytes={} reserved={} limit={}",
                    bytes,
                    reservedBytes,
                    limitBytes);
        }
    }

    private Reservation reservationOf(ServerConnection connection) {
        Reservation known = connection.getAttachment(RESERVATION);
        if (known != null) {
            return known;
        }
        Reservation reservation = new Reservation();
        connection.putAttachment(RESERVATION, reservation);
        // A connection that closes before the whole body has come may never complete its exchange.
        connection.addCloseListener(closed -> reservation.end());
        return reservation;
    }

    /** What is reserved for the one request that a connection carries at a time. */
    private final class Reservation {
        private int bytes;
        private XnioExecutor.Key timeout;

        void begin(HttpServerExchange exchange, int bodyBytes) {
            end();
            bytes = bodyBytes;
            reservedBytes += bodyBytes;
            timeout = exchange.getIoThread()
                    .executeAfter(() -> closeIfIncomplete(exchange), RECEIVE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        private void closeIfIncomplete(HttpServerExchange exchange) {
            if (!exchange.isRequestComplete()) {
                LOG.info("connection closed, its request body has not arrived, path={}", exchange.getRequestPath());
                IoUtils.safeClose(exchange.getConnection());
            }
        }

        void end() {
            if (bytes == 0) {
                return;
            }
            reservedBytes -= bytes;
            bytes = 0;
            timeout.remove();
            refusing &= reservedBytes > limitBytes / 2;
        }
    }
}
