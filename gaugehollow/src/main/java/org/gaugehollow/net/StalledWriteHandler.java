/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.time.SteadyClock;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Closes a server connection whose client takes no data of a pending response for some time. Any
 * progress restarts the time, so that a response to a slow client is completed.
 */
final class StalledWriteHandler extends ChannelOutboundHandlerAdapter
{
    private static final int CHECKS_PER_TIMEOUT = 4;

    /** How much the socket has taken: the completed writes, and the bytes of the current one. */
    private record Progress(long completedWrites, long currentBytes)
    {
    }

    private final long timeoutNanos;
    private final EventLog events;
    private long completedWrites;
    private Progress lastProgress;
    private long lastProgressNanos;
    private boolean checking;

    StalledWriteHandler(long timeoutMillis, EventLog events)
    {
        this.timeoutNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        this.events = events;
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise)
    {
        // a failed write is reported to its promise
        ChannelFuture unused = ctx.write(message, promise.unvoid().addListener(written -> completedWrites++));
    }

    @Override
    public void flush(ChannelHandlerContext ctx)
    {
        ctx.flush();
        if (!checking && hasPendingData(ctx))
        {
            checking = true;
            recordProgress(ctx);
            scheduleCheck(ctx);
        }
    }

    private void scheduleCheck(ChannelHandlerContext ctx)
    {
        // a check that outlives its connection finds nothing pending
        ScheduledFuture<?> unused = ctx.executor().schedule(() -> check(ctx),
                timeoutNanos / CHECKS_PER_TIMEOUT, TimeUnit.NANOSECONDS);
    }

    private void check(ChannelHandlerContext ctx)
    {
        if (!hasPendingData(ctx))
        {
            checking = false;
            return;
        }
        if (!currentProgress(ctx).equals(lastProgress))
        {
            recordProgress(ctx);
        }
        if (SteadyClock.nanos() - lastProgressNanos >= timeoutNanos)
        {
            events.record(EventType.CALLER_STALLED, String.valueOf(ctx.channel().remoteAddress()),
                    ctx.channel().unsafe().outboundBuffer().totalPendingWriteBytes() + " bytes pending");
            ctx.close().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
            return;
        }
        scheduleCheck(ctx);
    }

    private void recordProgress(ChannelHandlerContext ctx)
    {
        lastProgress = currentProgress(ctx);
        lastProgressNanos = SteadyClock.nanos();
    }

    private Progress currentProgress(ChannelHandlerContext ctx)
    {
        return new Progress(completedWrites, ctx.channel().unsafe().outboundBuffer().currentProgress());
    }

    private static boolean hasPendingData(ChannelHandlerContext ctx)
    {
        ChannelOutboundBuffer pending = ctx.channel().unsafe().outboundBuffer();
        return pending != null && pending.totalPendingWriteBytes() > 0;
    }
}
