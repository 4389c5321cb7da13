package org.landingridge.controller.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.landingridge.net.EventLoop;
import org.landingridge.net.Http;

/**
 * Guards against a controller that restarts so quickly that the leader's answer to a heartbeat of its previous incarnation
 * reaches the new one: with equal heartbeat numbers, one machine would receive the commands of another.
 */
class HeartbeatForwarderTest {
    /** An event loop whose clock stays at 1 s and whose timers never fire. */
    private static final EventLoop FIXED_TIME_LOOP = new EventLoop() {
        @Override
        public long now() {
            return 1_000;
        }

        @Override
        public long nanos() {
            return 0;
        }

        @Override
        public long timeOfDay() {
            return 0;
        }

        @Override
        public Timer after(long millis, Runnable task) {
            return () -> {};
        }
    };

    private final List<PeerMessage> sent = new ArrayList<>();
    private final List<String> answers = new ArrayList<>();

    private HeartbeatForwarder startIncarnation(long seed) {
        HeartbeatForwarder forwarder = new HeartbeatForwarder(
                FIXED_TIME_LOOP, (host, message) -> sent.add(message), new SplittableRandom(seed), "rig-1", 100);
        forwarder.recordLeaderMessage("rig-0");
        return forwarder;
    }

    private Http.Exchange heartbeatOf(String machine) {
        return new Http.Exchange() {
            @Override
            public String method() {
                return "POST";
            }

            @Override
            public String path() {
                return "/hello";
            }

            @Override
            public byte[] body() {
                return machine.getBytes();
            }

            @Override
            public void answer(int status, byte[] json, int retryAfterS) {
                answers.add(machine + " gets " + new String(json));
            }
        };
    }

    @Test
    @DisplayName("an answer to a heartbeat that the previous incarnation forwarded is not sent to another machine")
    void answerToHeartbeatOfPreviousIncarnationIsNotSentToAnotherMachine() {
        startIncarnation(1).forward("rig-0", heartbeatOf("m-1"));
        HeartbeatForwarder newIncarnation = startIncarnation(2);
        newIncarnation.forward("rig-0", heartbeatOf("m-2"));
        for (PeerMessage message : sent) {
            PeerMessage.ForwardedHeartbeat heartbeat = (PeerMessage.ForwardedHeartbeat) message;
            newIncarnation.receiveAnswer(new PeerMessage.HeartbeatAnswer(
                    "rig-0", heartbeat.number(), 200, ("that of " + new String(heartbeat.body())).getBytes()));
        }
        assertEquals(List.of("m-2 gets that of m-2"), answers);
    }
}
