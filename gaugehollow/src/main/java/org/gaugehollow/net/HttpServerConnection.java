/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/**
 * One server connection: the event loop queues whole requests, a virtual thread answers them in
 * order.
 */
final class HttpServerConnection extends SimpleChannelInboundHandler<FullHttpRequest>
{
    private static final int IDLE_SECONDS = 75;

    /** A request as it was queued; a null message says that it could not be decoded. */
    private record Received(HttpMessage message, boolean keepAlive, String fault)
    {
        static final Received END = new Received(null, false, null);
    }

    private final HttpHandler handler;
    private final EventLog events;
    private final AtomicInteger inFlight;
    private final AtomicBoolean closing;
    private final BlockingQueue<Received> queue = new LinkedBlockingQueue<>();

    HttpServerConnection(HttpHandler handler, EventLog events, AtomicInteger inFlight, AtomicBoolean closing)
    {
        this.handler = handler;
        this.events = events;
        this.inFlight = inFlight;
        this.closing = closing;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx)
    {
        Thread.ofVirtual().name("http-" + ctx.channel().id().asShortText()).start(() -> serve(ctx.channel()));
        ctx.read();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request)
    {
        if (request.decoderResult().isFailure())
        {
            queue.add(
                    new Received(null, false, String.valueOf(request.decoderResult().cause().getMessage())));
            return;
        }
        String uri = request.uri();
        int mark = uri.indexOf('?');
        HttpMessage message = new HttpMessage(request.method().name(),
                mark < 0 ? uri : uri.substring(0, mark), mark < 0 ? "" : uri.substring(mark + 1),
                request.headers(), ByteBufUtil.getBytes(request.content()));
        queue.add(new Received(message, HttpUtil.isKeepAlive(request), null));
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx)
    {
        if (queue.isEmpty())
        {
            ctx.read();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx)
    {
        queue.add(Received.END);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause)
    {
        ctx.close().addListener(closed -> queue.add(Received.END));
    }

    private void serve(Channel channel)
    {
        try
        {
            while (channel.isActive())
            {
                Received received = queue.poll(IDLE_SECONDS, TimeUnit.SECONDS);
                if (received == null || received == Received.END)
                {
                    break;
                }
                answer(channel, received);
                channel.read();
            }
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
        }
        finally
        {
            channel.close().addListener(closed -> queue.clear());
        }
    }

    private void answer(Channel channel, Received received) throws InterruptedException
    {
        boolean keepAlive = received.keepAlive && !closing.get();
        HttpExchange exchange = new HttpExchange(channel, received.message, keepAlive);
        if (received.message == null)
        {
            events.record(EventType.CALLER_BAD_REQUEST, String.valueOf(channel.remoteAddress()),
                    received.fault);
            exchange.respond(HttpReply.error(ResultCode.BAD_REQUEST, "not a valid HTTP request"), true);
            return;
        }
        inFlight.incrementAndGet();
        try
        {
            handler.handle(exchange);
        }
        catch (GaugehollowException e)
        {
            respondUnlessBegun(exchange, HttpReply.error(e));
        }
        catch (RuntimeException e)
        {
            events.record(EventType.INTERNAL_FAULT, received.message.path(), String.valueOf(e));
            respondUnlessBegun(exchange, HttpReply.error(ResultCode.INTERNAL, "a fault inside the box"));
        }
        finally
        {
            inFlight.decrementAndGet();
        }
    }

    private static void respondUnlessBegun(HttpExchange exchange, HttpReply reply) throws InterruptedException
    {
        if (!exchange.answered())
        {
            exchange.respond(reply);
        }
    }
}
