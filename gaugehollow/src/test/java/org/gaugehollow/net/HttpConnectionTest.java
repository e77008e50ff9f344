/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.Test;

import io.netty.handler.codec.http.DefaultHttpHeaders;

/** What ends a wait for an answer. */
class HttpConnectionTest
{
    private static final int LARGEST_ANSWER = 1_000;
    private static final int IDLE_MILLIS = 2_000;
    private static final int WHOLE_MILLIS = 30_000;
    private static final int END = -1;
    private static final int PART_MILLIS = 300;

    @Test
    void aWaitForAnAnswerEndsWhenThisSideClosesTheConnection() throws Exception
    {
        NetLoops loops = new NetLoops(Optional.empty());
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                HttpConnection connection = HttpConnection.open(loops,
                        (InetSocketAddress) silent.getLocalSocketAddress(), 1_000))
        {
            CompletableFuture<String> ended = new CompletableFuture<>();
            Thread.ofVirtual().start(() -> ended.complete(outcome(connection)));
            Thread.sleep(200);
            assertThat(ended.isDone()).isFalse();
            connection.close();
            assertThat(ended.get(1, TimeUnit.SECONDS)).isEqualTo("failed");
        }
        finally
        {
            loops.close();
        }
    }

    private static String outcome(HttpConnection connection)
    {
        HttpMessage request = new HttpMessage("GET", "/", "", new DefaultHttpHeaders(), new byte[0]);
        try
        {
            connection.exchange(request, SteadyClock.nanos() + TimeUnit.SECONDS.toNanos(10), LARGEST_ANSWER);
            return "answered";
        }
        catch (GaugehollowException e)
        {
            return "failed";
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
            return "interrupted";
        }
    }

    /** A server that sends an answer a byte at a time, and stops after some of them. */
    private static Thread sendSlowly(ServerSocket server, int bytes)
    {
        return Thread.ofVirtual().start(() ->
        {
            try (Socket socket = server.accept(); OutputStream out = socket.getOutputStream())
            {
                // an answer before its request would end the connection
                assertThat(socket.getInputStream().read()).isNotEqualTo(END);
                out.write(
                        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                for (int i = 0; i < bytes; i++)
                {
                    Thread.sleep(PART_MILLIS);
                    out.write('x');
                    out.flush();
                }
                Thread.sleep(WHOLE_MILLIS);
            }
            catch (IOException e)
            {
                // the test has ended the connection
            }
            catch (InterruptedException e)
            {
                Thread.currentThread().interrupt();
            }
        });
    }

    private static String outcomeOfSlowAnswer(int bytes) throws Exception
    {
        NetLoops loops = new NetLoops(Optional.empty());
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                HttpCaller caller = new HttpCaller(loops, (InetSocketAddress) server.getLocalSocketAddress()))
        {
            Thread sender = sendSlowly(server, bytes);
            HttpMessage request = new HttpMessage("GET", "/", "", new DefaultHttpHeaders(), new byte[0]);
            String outcome;
            try
            {
                outcome = new String(caller.callWithIdleTimeout(request, IDLE_MILLIS, WHOLE_MILLIS).body(),
                        StandardCharsets.US_ASCII);
            }
            catch (GaugehollowException e)
            {
                outcome = "failed";
            }
            sender.interrupt();
            return outcome;
        }
        finally
        {
            loops.close();
        }
    }

    @Test
    void anAnswerThatKeepsArrivingIsAwaited() throws Exception
    {
        assertThat(outcomeOfSlowAnswer(10)).isEqualTo("xxxxxxxxxx");
    }

    @Test
    void anAnswerThatStopsArrivingIsGivenUp() throws Exception
    {
        long begun = SteadyClock.nanos();
        assertThat(outcomeOfSlowAnswer(3)).isEqualTo("failed");
        assertThat(SteadyClock.nanos() - begun).isLessThan(TimeUnit.MILLISECONDS.toNanos(WHOLE_MILLIS / 2));
    }
}
