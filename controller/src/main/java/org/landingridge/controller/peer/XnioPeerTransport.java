package org.landingridge.controller.peer;

import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.landingridge.controller.settings.Settings;
import org.landingridge.net.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Sends messages as frames over TCP on the peer network ({@code back}). A frame is a four-byte length followed by one record.
 * Each controller connects to every other and sends on its own connections only.
 */
public final class XnioPeerTransport implements PeerTransport {
    private static final Logger LOG = LoggerFactory.getLogger(XnioPeerTransport.class);
    private final Consumer<PeerMessage> receiver;
    private final Map<String, PeerLink> links = new HashMap<>();

    /**
     * Starts to listen at once; connects to another controller when there is something to send.
     *
     * @param worker        I/O worker whose only thread runs the event loop
     * @param peers         the other controllers
     * @param listenAddress address to listen on
     * @param receiver      called with each message that arrives
     * @throws IOException if the server socket cannot be opened on the address
     */
    public XnioPeerTransport(
            XnioWorker worker,
            EventLoop loop,
            List<Settings.Peer> peers,
            InetSocketAddress listenAddress,
            Consumer<PeerMessage> receiver)
            throws IOException {
        this.receiver = receiver;
        for (Settings.Peer peer : peers) {
            HostAndPort hostAndPort = HostAndPort.fromString(peer.addr());
            InetSocketAddress address = new InetSocketAddress(hostAndPort.getHost(), hostAndPort.getPort());
            links.put(peer.host(), new PeerLink(worker, loop, address));
        }
        worker.createStreamConnectionServer(
                        listenAddress,
                        this::acceptConnections,
                        OptionMap.create(Options.REUSE_ADDRESSES, true, Options.TCP_NODELAY, true))
                .resumeAccepts();
    }

    private void acceptConnections(AcceptingChannel<StreamConnection> server) {
        try {
            StreamConnection connection;
            while ((connection = server.accept()) != null) {
                new PeerFrameReader(connection, receiver).start();
            }
        } catch (IOException e) {
            LOG.debug("accepting a peer connection failed, error={}", e.toString());
        }
    }

    @Override
    public void send(String host, PeerMessage message) {
        PeerLink link = links.get(host);
        if (link != null) {
            link.send(message.encode());
        }
    }
}
