/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.BlockingDeque;
import java.util.concurrent.LinkedBlockingDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.time.SteadyClock;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;

/**
 * A client connection that carries one request at a time. After any failure it is closed and never
 * used again, so that a late answer can reach no other request.
 */
public final class HttpConnection implements AutoCloseable
{
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int LARGEST_HEADER = 16 << 10;
    private static final int LARGEST_CHUNK = 64 << 10;

    /**
     * What the event loop queues: the head, a piece of the body, the end, or the loss of the
     * connection.
     */
    private sealed interface Part
    {
        /** Status and headers. */
        record Head(HttpResponse response) implements Part
        {
        }

        /** A piece of the body, perhaps the last. */
        record Piece(byte[] bytes, boolean last) implements Part
        {
        }

        /** The connection ended. */
        record Lost(String reason) implements Part
        {
        }
    }

    private final Channel channel;
    private final String address;
    private final BlockingDeque<Part> parts = new LinkedBlockingDeque<>();
    private boolean busy;
    private boolean answered;
    private String lastExchange;

    private HttpConnection(NetLoops loops, InetSocketAddress target, int timeoutMillis)
            throws InterruptedException
    {
        address = NetAddress.format(target);
        Bootstrap bootstrap = loops.client().option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.max(1, timeoutMillis))
                .handler(new ChannelInitializer<Channel>()
                {
                    @Override
                    protected void initChannel(Channel ch)
                    {
                        ch.pipeline().addLast(
                                new HttpClientCodec(LARGEST_HEADER, LARGEST_HEADER, LARGEST_CHUNK),
                                new Receiver());
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
     * @param timeoutMillis how long to wait
     * @return the open connection
     * @throws InterruptedException if the process stops
     * @throws GaugehollowException with {@link ResultCode#UPSTREAM_REFUSED} if it cannot be opened
     */
    public static HttpConnection open(NetLoops loops, InetSocketAddress target, int timeoutMillis)
            throws InterruptedException
    {
        return new HttpConnection(loops, target, timeoutMillis);
    }

    /** @return whether another request may be sent: open, idle, and nothing unasked has arrived */
    public boolean isReusable()
    {
        return channel.isActive() && !busy && parts.isEmpty();
    }

    /** @return whether a whole answer has come over it */
    public boolean hasAnswered()
    {
        return answered;
    }

    /**
     * Sends a request and waits for the whole answer.
     *
     * @param request the request
     * @param deadlineNanos when to give up, on {@link SteadyClock#nanos}
     * @param maxBody the largest answer taken
     * @return the whole answer
     * @throws InterruptedException if the process stops
     * @throws GaugehollowException {@code UPSTREAM_REFUSED} if nothing was sent,
     *             {@code UPSTREAM_TIMEOUT}, {@code OUTCOME_UNKNOWN} or {@code ANSWER_TOO_LARGE}
     *             otherwise
     */
    public HttpReply exchange(HttpMessage request, long deadlineNanos, int maxBody)
            throws InterruptedException
    {
        send(request);
        return awaitAnswer(deadlineNanos, maxBody);
    }

    /**
     * Sends a request and waits for the whole answer for as long as it keeps arriving.
     *
     * @param request the request
     * @param idleNanos how long to wait for the head and for each further part, in nanoseconds
     * @param deadlineNanos when to give up in any case, on {@link SteadyClock#nanos}
     * @param maxBody the largest answer taken
     * @return the whole answer
     * @throws InterruptedException if the process stops
     * @throws GaugehollowException as with {@link #exchange}
     */
    public HttpReply exchangeWithIdleTimeout(HttpMessage request, long idleNanos, long deadlineNanos,
            int maxBody) throws InterruptedException
    {
        send(request);
        return awaitAnswer(idleNanos, deadlineNanos, maxBody);
    }

    /**
     * Sends a request unless it may not be sent any more, and waits for the whole answer.
     *
     * @param maySend asked directly before the request is written, on the event loop; must not block
     * @param request the request
     * @param deadlineNanos when to give up, on {@link SteadyClock#nanos}
     * @param maxBody the largest answer taken
     * @return the whole answer
     * @throws InterruptedException if the process stops
     * @throws GaugehollowException {@code NO_RIGHTS} if it was kept back, or as with {@link #exchange}
     */
    public HttpReply exchangeIf(BooleanSupplier maySend, HttpMessage request, long deadlineNanos, int maxBody)
            throws InterruptedException
    {
        sendIf(maySend, request);
        return awaitAnswer(deadlineNanos, maxBody);
    }

    /**
     * Waits for another whole answer on this connection, where the one before proved to be a
     * repetition.
     *
     * @param deadlineNanos when to give up, on {@link SteadyClock#nanos}
     * @param maxBody the largest answer taken
     * @return the whole answer
     * @throws InterruptedException if the process stops
     */
    public HttpReply awaitAnswer(long deadlineNanos, int maxBody) throws InterruptedException
    {
        return awaitAnswer(Math.max(0, deadlineNanos - SteadyClock.nanos()), deadlineNanos, maxBody);
    }

    private HttpReply awaitAnswer(long idleNanos, long deadlineNanos, int maxBody) throws InterruptedException
    {
        busy = true;
        HttpReply head = readHead(nextDeadline(idleNanos, deadlineNanos));
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean whole = false;
        while (!whole)
        {
            Part.Piece piece = readPiece(nextDeadline(idleNanos, deadlineNanos));
            body.writeBytes(piece.bytes);
            whole = piece.last;
            if (body.size() > maxBody)
            {
                throw failed(ResultCode.ANSWER_TOO_LARGE, "the answer has more than " + maxBody + " bytes");
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
     * Names the exchange that was answered last, so that a repetition of its answer can be told.
     *
     * @param id the exchange's id
     */
    public void setLastExchange(String id)
    {
        lastExchange = id;
    }

    /** @return the id given to the exchange before, or null */
    public String lastExchange()
    {
        return lastExchange;
    }

    /**
     * Sends a request whose answer is a stream, and waits for the head of the answer.
     *
     * @param request the request
     * @param deadlineNanos when to give up waiting for the head
     * @return the head, with an empty body
     * @throws InterruptedException if the process stops
     */
    public HttpReply openStream(HttpMessage request, long deadlineNanos) throws InterruptedException
    {
        send(request);
        return readHead(deadlineNanos);
    }

    /**
     * Waits for the next piece of a streamed answer.
     *
     * @param deadlineNanos when to give up
     * @param keepOnTimeout whether the connection lives on when nothing came in time
     * @return the bytes, empty when nothing came in time, or null at the end of the stream
     * @throws InterruptedException if the process stops
     */
    public byte[] readChunk(long deadlineNanos, boolean keepOnTimeout) throws InterruptedException
    {
        if (keepOnTimeout && !arrives(deadlineNanos))
        {
            return new byte[0];
        }
        Part.Piece piece = readPiece(deadlineNanos);
        return piece.last && piece.bytes.length == 0 ? null : piece.bytes;
    }

    private boolean arrives(long deadlineNanos) throws InterruptedException
    {
        Part first = parts.poll(Math.max(0, deadlineNanos - SteadyClock.nanos()), TimeUnit.NANOSECONDS);
        if (first == null)
        {
            return false;
        }
        parts.addFirst(first);
        return true;
    }

    private void send(HttpMessage request) throws InterruptedException
    {
        awaitWritten(channel.writeAndFlush(begin(request)));
    }

    /** On the event loop nothing comes between the question and the write. */
    private void sendIf(BooleanSupplier maySend, HttpMessage request) throws InterruptedException
    {
        FullHttpRequest message = begin(request);
        Future<Optional<ChannelFuture>> asked = channel.eventLoop()
                .submit(() -> maySend.getAsBoolean()
                        ? Optional.of(channel.writeAndFlush(message))
                        : Optional.<ChannelFuture>empty())
                .await();
        if (!asked.isSuccess())
        {
            throw failed(ResultCode.UPSTREAM_REFUSED, "the connection to " + address + " has ended");
        }
        if (asked.getNow().isEmpty())
        {
            message.release();
            busy = false;
            throw new GaugehollowException(ResultCode.NO_RIGHTS, address + " may not be used now");
        }
        awaitWritten(asked.getNow().get());
    }

    private FullHttpRequest begin(HttpMessage request)
    {
        if (!isReusable())
        {
            close();
            throw new GaugehollowException(ResultCode.UPSTREAM_REFUSED,
                    "the connection to " + address + " has ended");
        }
        busy = true;
        String uri = request.query().isEmpty() ? request.path() : request.path() + '?' + request.query();
        FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()), uri, Unpooled.wrappedBuffer(request.body()));
        message.headers().set(request.headers());
        message.headers().set(HttpHeaderNames.HOST, address);
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        return message;
    }

    private void awaitWritten(ChannelFuture written) throws InterruptedException
    {
        if (!written.await().isSuccess())
        {
            throw failed(ResultCode.OUTCOME_UNKNOWN, "the connection ended while the request was sent");
        }
    }

    private HttpReply readHead(long deadlineNanos) throws InterruptedException
    {
        Part part = next(deadlineNanos);
        if (!(part instanceof Part.Head head))
        {
            throw failed(ResultCode.OUTCOME_UNKNOWN, "an answer without a head");
        }
        HttpResponse response = head.response;
        if (response.decoderResult().isFailure())
        {
            throw failed(ResultCode.OUTCOME_UNKNOWN, "the answer is not valid HTTP");
        }
        if (!HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response))
        {
            throw failed(ResultCode.OUTCOME_UNKNOWN, "the answer does not say how long it is");
        }
        return new HttpReply(response.status().code(), response.headers(), new byte[0]);
    }

    private Part.Piece readPiece(long deadlineNanos) throws InterruptedException
    {
        if (next(deadlineNanos) instanceof Part.Piece piece)
        {
            return piece;
        }
        throw failed(ResultCode.OUTCOME_UNKNOWN, "a second answer inside the first");
    }

    private Part next(long deadlineNanos) throws InterruptedException
    {
        long wait = Math.max(0, deadlineNanos - SteadyClock.nanos());
        Part part = parts.poll(wait / NANOS_PER_MILLI + 1, TimeUnit.MILLISECONDS);
        if (part == null)
        {
            throw failed(ResultCode.UPSTREAM_TIMEOUT, "no whole answer from " + address + " in time");
        }
        if (part instanceof Part.Lost lost)
        {
            throw failed(ResultCode.OUTCOME_UNKNOWN,
                    "the connection to " + address + " ended: " + lost.reason);
        }
        return part;
    }

    private GaugehollowException failed(ResultCode code, String message)
    {
        close();
        return new GaugehollowException(code, message);
    }

    @Override
    public void close()
    {
        busy = true;
        // whoever waits for a part hears of the end from the receiver
        ChannelFuture unused = channel.close();
    }

    /** Queues what arrives. */
    private final class Receiver extends SimpleChannelInboundHandler<HttpObject>
    {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message)
        {
            if (message instanceof HttpResponse response)
            {
                parts.add(new Part.Head(response));
            }
            if (message instanceof HttpContent content)
            {
                boolean last = content instanceof LastHttpContent;
                if (content.decoderResult().isFailure())
                {
                    parts.add(new Part.Lost("the body is not valid HTTP"));
                }
                else
                {
                    parts.add(new Part.Piece(ByteBufUtil.getBytes(content.content()), last));
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx)
        {
            parts.add(new Part.Lost("closed"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause)
        {
            parts.add(new Part.Lost(String.valueOf(cause.getMessage())));
            ctx.close().addListener(closed -> parts.add(new Part.Lost("closed after a fault")));
        }
    }
}
