/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.BlockingDeque;
import java.util.concurrent.LinkedBlockingDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.time.SteadyClock;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;

/**
 * A client connection that carries one request at a time. It is closed after any failure, so that a
 * late response is never taken for the response of another request.
 */
public final class HttpConnection implements AutoCloseable
{
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int MAX_HEADER_BYTES = 16 << 10;
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    private final Channel channel;
    private final String address;
    private final BlockingDeque<ResponsePart> parts = new LinkedBlockingDeque<>();
    private final ResponseHandler responses = new ResponseHandler(parts);
    private long sentNanos;
    private boolean busy;
    private boolean answered;
    private boolean timedOut;
    private String lastExchangeId;

    private HttpConnection(NetLoops loops, InetSocketAddress target, int timeoutMillis)
            throws InterruptedException
    {
        address = NetAddress.format(target);
        Bootstrap bootstrap = loops.newClientBootstrap().option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.max(1, timeoutMillis))
                .handler(new ChannelInitializer<Channel>()
                {
                    @Override
                    protected void initChannel(Channel ch)
                    {
                        ch.pipeline().addLast(
                                new HttpClientCodec(MAX_HEADER_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES),
                                responses);
                    }
                });
        ChannelFuture connected = bootstrap.connect(target).await();
        if (!connected.isSuccess())
        {
            throw new GaugehollowException(ResultCode.UPSTREAM_REFUSED, "cannot connect to " + address,
                    connected.cause());
        }
        channel = connected.channel();
    }

    /**
     * Opens a connection.
     *
     * @param loops the event loops
     * @param target the address
     * @param timeoutMillis connect timeout in milliseconds
     * @return the open connection
     * @throws InterruptedException if the thread is interrupted
     * @throws GaugehollowException with {@link ResultCode#UPSTREAM_REFUSED} if the connection fails
     */
    public static HttpConnection open(NetLoops loops, InetSocketAddress target, int timeoutMillis)
            throws InterruptedException
    {
        return new HttpConnection(loops, target, timeoutMillis);
    }

    /** @return whether the connection is open, idle and has no unexpected data queued */
    public boolean isReusable()
    {
        return channel.isActive() && !busy && parts.isEmpty();
    }

    /**
     * @param nanos a time on the clock of {@link SteadyClock#nanos}
     * @return whether the connection was opened or has received data at or after that time
     */
    boolean hasReceivedSince(long nanos)
    {
        return responses.lastReceivedNanos() - nanos >= 0;
    }

    /**
     * @return when the request was sent that timed out, on the clock of {@link SteadyClock#nanos};
     *         empty if none did
     */
    OptionalLong timedOutRequestNanos()
    {
        return timedOut ? OptionalLong.of(sentNanos) : OptionalLong.empty();
    }

    /** @return whether a complete response was received on this connection */
    public boolean hasAnswered()
    {
        return answered;
    }

    /**
     * Sends a request and waits for the complete response.
     *
     * @param request the request
     * @param deadlineNanos deadline on the clock of {@link SteadyClock#nanos}
     * @param maxBodyBytes maximum size of the response body
     * @return the response
     * @throws InterruptedException if the thread is interrupted
     * @throws GaugehollowException {@code UPSTREAM_REFUSED} if nothing was sent,
     *             {@code UPSTREAM_TIMEOUT}, {@code OUTCOME_UNKNOWN} or {@code ANSWER_TOO_LARGE}
     *             otherwise
     */
    public HttpReply exchange(HttpRequest request, long deadlineNanos, int maxBodyBytes)
            throws InterruptedException
    {
        send(request, deadlineNanos);
        return awaitResponse(deadlineNanos, maxBodyBytes);
    }

    /**
     * Sends a request and waits for the complete response with an idle timeout.
     *
     * @param request the request
     * @param idleNanos timeout for the request, for the headers and for each body chunk, in nanoseconds
     * @param deadlineNanos overall deadline on the clock of {@link SteadyClock#nanos}
     * @param maxBodyBytes maximum size of the response body
     * @return the response
     * @throws InterruptedException if the thread is interrupted
     * @throws GaugehollowException as for {@link #exchange}
     */
    public HttpReply exchangeWithIdleTimeout(HttpRequest request, long idleNanos, long deadlineNanos,
            int maxBodyBytes) throws InterruptedException
    {
        send(request, nextDeadline(idleNanos, deadlineNanos));
        return awaitResponse(idleNanos, deadlineNanos, maxBodyBytes);
    }

    /**
     * Sends a request if a condition holds, and waits for the complete response.
     *
     * @param maySend condition evaluated on the event loop directly before the write; must not block
     * @param request the request
     * @param deadlineNanos deadline on the clock of {@link SteadyClock#nanos}
     * @param maxBodyBytes maximum size of the response body
     * @return the response
     * @throws InterruptedException if the thread is interrupted
     * @throws GaugehollowException {@code NO_RIGHTS} if the condition does not hold, otherwise as for
     *             {@link #exchange}
     */
    public HttpReply exchangeIf(BooleanSupplier maySend, HttpRequest request, long deadlineNanos,
            int maxBodyBytes) throws InterruptedException
    {
        sendIf(maySend, request, deadlineNanos);
        return awaitResponse(deadlineNanos, maxBodyBytes);
    }

    /**
     * Waits for another response on this connection, after the previous one turned out to be a
     * duplicate.
     *
     * @param deadlineNanos deadline on the clock of {@link SteadyClock#nanos}
     * @param maxBodyBytes maximum size of the response body
     * @return the response
     * @throws InterruptedException if the thread is interrupted
     */
    public HttpReply awaitResponse(long deadlineNanos, int maxBodyBytes) throws InterruptedException
    {
        return awaitResponse(Math.max(0, deadlineNanos - SteadyClock.nanos()), deadlineNanos, maxBodyBytes);
    }

    private HttpReply awaitResponse(long idleNanos, long deadlineNanos, int maxBodyBytes)
            throws InterruptedException
    {
        busy = true;
        HttpReply head = readHead(nextDeadline(idleNanos, deadlineNanos));
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = false;
        while (!complete)
        {
            ResponsePart.Chunk chunk = readBodyChunk(nextDeadline(idleNanos, deadlineNanos));
            body.writeBytes(chunk.bytes());
            complete = chunk.last();
            if (body.size() > maxBodyBytes)
            {
                throw closeWithFailure(ResultCode.ANSWER_TOO_LARGE,
                        "the response body exceeds " + maxBodyBytes + " bytes");
            }
        }
        busy = false;
        answered = true;
        if (!"keep-alive".equalsIgnoreCase(head.headers().get(HttpHeaderNames.CONNECTION, "keep-alive")))
        {
            close();
        }
        return new HttpReply(head.status(), head.headers(), body.toByteArray());
    }

    private static long nextDeadline(long idleNanos, long deadlineNanos)
    {
        long idleEnd = SteadyClock.nanos() + idleNanos;
        return idleEnd - deadlineNanos < 0 ? idleEnd : deadlineNanos;
    }

    /**
     * Stores the id of the last completed exchange, so that a duplicate of its response can be
     * detected.
     *
     * @param id the id of the exchange
     */
    public void setLastExchangeId(String id)
    {
        lastExchangeId = id;
    }

    /** @return the id of the last completed exchange, or null */
    public String lastExchangeId()
    {
        return lastExchangeId;
    }

    /**
     * Sends a request with a streamed response and waits for the response headers.
     *
     * @param request the request
     * @param deadlineNanos deadline for the request and the headers, on the clock of
     *            {@link SteadyClock#nanos}
     * @return the status and headers, with an empty body
     * @throws InterruptedException if the thread is interrupted
     */
    public HttpReply openStream(HttpRequest request, long deadlineNanos) throws InterruptedException
    {
        send(request, deadlineNanos);
        return readHead(deadlineNanos);
    }

    /**
     * Waits for the next chunk of a streamed response.
     *
     * @param deadlineNanos deadline on the clock of {@link SteadyClock#nanos}
     * @param keepOnTimeout whether the connection stays open after a timeout
     * @return the bytes, empty after a timeout, or null at the end of the stream
     * @throws InterruptedException if the thread is interrupted
     */
    public byte[] readChunk(long deadlineNanos, boolean keepOnTimeout) throws InterruptedException
    {
        if (keepOnTimeout && !awaitPart(deadlineNanos))
        {
            return new byte[0];
        }
        ResponsePart.Chunk chunk = readBodyChunk(deadlineNanos);
        return chunk.last() && chunk.bytes().length == 0 ? null : chunk.bytes();
    }

    private boolean awaitPart(long deadlineNanos) throws InterruptedException
    {
        ResponsePart part = parts.poll(Math.max(0, deadlineNanos - SteadyClock.nanos()),
                TimeUnit.NANOSECONDS);
        if (part == null)
        {
            return false;
        }
        parts.addFirst(part);
        return true;
    }

    private void send(HttpRequest request, long deadlineNanos) throws InterruptedException
    {
        awaitWritten(channel.writeAndFlush(prepareRequest(request)), deadlineNanos);
    }

    /**
     * Evaluates the condition on the event loop, so that nothing runs between the check and the write.
     */
    private void sendIf(BooleanSupplier maySend, HttpRequest request, long deadlineNanos)
            throws InterruptedException
    {
        FullHttpRequest message = prepareRequest(request);
        Future<Optional<ChannelFuture>> submitted = channel.eventLoop()
                .submit(() -> maySend.getAsBoolean()
                        ? Optional.of(channel.writeAndFlush(message))
                        : Optional.<ChannelFuture>empty());
        awaitSubmitted(submitted, message, deadlineNanos);
        if (!submitted.isSuccess())
        {
            throw closeWithFailure(ResultCode.UPSTREAM_REFUSED,
                    "the connection to " + address + " is closed");
        }
        if (submitted.getNow().isEmpty())
        {
            message.release();
            busy = false;
            throw new GaugehollowException(ResultCode.NO_RIGHTS,
                    "requests to " + address + " are currently not allowed");
        }
        awaitWritten(submitted.getNow().get(), deadlineNanos);
    }

    /** Waits until the event loop has taken the request; one that is cancelled first is not sent. */
    private void awaitSubmitted(Future<?> submitted, FullHttpRequest message, long deadlineNanos)
            throws InterruptedException
    {
        if (submitted.await(remainingMillis(deadlineNanos)))
        {
            return;
        }
        if (submitted.cancel(false))
        {
            message.release();
            throw closeWithFailure(ResultCode.UPSTREAM_REFUSED,
                    "the request to " + address + " was not sent before its deadline");
        }
        throw closeWithTimeout("timed out sending the request to " + address);
    }

    private FullHttpRequest prepareRequest(HttpRequest request)
    {
        if (!isReusable())
        {
            close();
            throw new GaugehollowException(ResultCode.UPSTREAM_REFUSED,
                    "the connection to " + address + " is closed");
        }
        busy = true;
        sentNanos = SteadyClock.nanos();
        String uri = request.query().isEmpty() ? request.path() : request.path() + '?' + request.query();
        FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()), uri, Unpooled.wrappedBuffer(request.body()));
        message.headers().set(request.headers());
        message.headers().set(HttpHeaderNames.HOST, address);
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        return message;
    }

    /**
     * Waits until the request is written, which takes until the server reads if it exceeds the buffers.
     */
    private void awaitWritten(ChannelFuture written, long deadlineNanos) throws InterruptedException
    {
        if (!written.await(remainingMillis(deadlineNanos)))
        {
            throw closeWithTimeout("timed out sending the request to " + address);
        }
        if (!written.isSuccess())
        {
            throw closeWithFailure(ResultCode.OUTCOME_UNKNOWN,
                    "the connection was lost while the request was sent");
        }
    }

    private HttpReply readHead(long deadlineNanos) throws InterruptedException
    {
        ResponsePart part = nextPart(deadlineNanos);
        if (!(part instanceof ResponsePart.Head head))
        {
            throw closeWithFailure(ResultCode.OUTCOME_UNKNOWN, "the response has a body without headers");
        }
        HttpResponse response = head.response();
        if (response.decoderResult().isFailure())
        {
            throw closeWithFailure(ResultCode.OUTCOME_UNKNOWN, "the response is not valid HTTP");
        }
        if (!HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response))
        {
            throw closeWithFailure(ResultCode.OUTCOME_UNKNOWN,
                    "the response has neither a content length nor chunked encoding");
        }
        return new HttpReply(response.status().code(), response.headers(), new byte[0]);
    }

    private ResponsePart.Chunk readBodyChunk(long deadlineNanos) throws InterruptedException
    {
        if (nextPart(deadlineNanos) instanceof ResponsePart.Chunk chunk)
        {
            return chunk;
        }
        throw closeWithFailure(ResultCode.OUTCOME_UNKNOWN, "unexpected headers within the response body");
    }

    private ResponsePart nextPart(long deadlineNanos) throws InterruptedException
    {
        ResponsePart part = parts.poll(remainingMillis(deadlineNanos), TimeUnit.MILLISECONDS);
        if (part == null)
        {
            throw closeWithTimeout("timed out waiting for the response from " + address);
        }
        if (part instanceof ResponsePart.ConnectionLost lost)
        {
            throw closeWithFailure(ResultCode.OUTCOME_UNKNOWN,
                    "the connection to " + address + " was lost: " + lost.reason());
        }
        return part;
    }

    /** Returns the time until the deadline, rounded up to at least one millisecond. */
    private static long remainingMillis(long deadlineNanos)
    {
        return Math.max(0, deadlineNanos - SteadyClock.nanos()) / NANOS_PER_MILLI + 1;
    }

    private GaugehollowException closeWithTimeout(String message)
    {
        timedOut = true;
        return closeWithFailure(ResultCode.UPSTREAM_TIMEOUT, message);
    }

    private GaugehollowException closeWithFailure(ResultCode code, String message)
    {
        close();
        return new GaugehollowException(code, message);
    }

    @Override
    public void close()
    {
        busy = true;
        // channelInactive wakes a thread that waits for the next part
        ChannelFuture unused = channel.close();
    }
}
