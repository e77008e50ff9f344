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

/** Guards against waiting forever for a response and against giving up on a slow one. */
class HttpConnectionTest
{
    private static final int MAX_RESPONSE_BYTES = 1_000;
    private static final int IDLE_MILLIS = 2_000;
    private static final int TOTAL_MILLIS = 30_000;
    private static final int END_OF_STREAM = -1;
    private static final int BYTE_INTERVAL_MILLIS = 300;

    @Test
    void closingTheConnectionEndsAPendingExchange() throws Exception
    {
        NetLoops loops = new NetLoops(Optional.empty());
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                HttpConnection connection = HttpConnection.open(loops,
                        (InetSocketAddress) server.getLocalSocketAddress(), 1_000))
        {
            CompletableFuture<String> outcome = new CompletableFuture<>();
            Thread.ofVirtual().start(() -> outcome.complete(outcome(connection)));
            Thread.sleep(200);
            assertThat(outcome.isDone()).isFalse();
            connection.close();
            assertThat(outcome.get(1, TimeUnit.SECONDS)).isEqualTo("failed");
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
            connection.exchange(request, SteadyClock.nanos() + TimeUnit.SECONDS.toNanos(10),
                    MAX_RESPONSE_BYTES);
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

    /**
     * Starts a server that sends a response byte by byte and stalls after the given number of bytes.
     */
    private static Thread sendSlowly(ServerSocket server, int bytes)
    {
        return Thread.ofVirtual().start(() ->
        {
            try (Socket socket = server.accept(); OutputStream out = socket.getOutputStream())
            {
                // a response before the request would close the connection
                assertThat(socket.getInputStream().read()).isNotEqualTo(END_OF_STREAM);
                out.write(
                        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                for (int i = 0; i < bytes; i++)
                {
                    Thread.sleep(BYTE_INTERVAL_MILLIS);
                    out.write('x');
                    out.flush();
                }
                Thread.sleep(TOTAL_MILLIS);
            }
            catch (IOException e)
            {
                // the test closed the connection
            }
            catch (InterruptedException e)
            {
                Thread.currentThread().interrupt();
            }
        });
    }

    private static String outcomeOfSlowResponse(int bytes) throws Exception
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
                outcome = new String(caller.callWithIdleTimeout(request, IDLE_MILLIS, TOTAL_MILLIS).body(),
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
    void aSlowResponseIsReadToTheEnd() throws Exception
    {
        assertThat(outcomeOfSlowResponse(10)).isEqualTo("xxxxxxxxxx");
    }

    @Test
    void aStalledResponseTimesOut() throws Exception
    {
        long startNanos = SteadyClock.nanos();
        assertThat(outcomeOfSlowResponse(3)).isEqualTo("failed");
        assertThat(SteadyClock.nanos() - startNanos)
                .isLessThan(TimeUnit.MILLISECONDS.toNanos(TOTAL_MILLIS / 2));
    }
}
