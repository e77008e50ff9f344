/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import java.nio.charset.StandardCharsets;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/** One request on a server connection and the way back to its caller. */
public final class HttpExchange
{
    private final Channel channel;
    private final HttpMessage request;
    private final boolean keepAlive;
    private boolean answered;

    HttpExchange(Channel channel, HttpMessage request, boolean keepAlive)
    {
        this.channel = channel;
        this.request = request;
        this.keepAlive = keepAlive;
    }

    /** @return the request */
    public HttpMessage request()
    {
        return request;
    }

    /** @return whether the caller is still connected */
    public boolean isOpen()
    {
        return channel.isActive();
    }

    /** @return whether a reply or a stream was begun */
    public boolean answered()
    {
        return answered;
    }

    /**
     * Sends the whole reply and waits until it is written or the caller is gone.
     *
     * @param reply the reply
     * @throws InterruptedException if the process stops
     */
    public void respond(HttpReply reply) throws InterruptedException
    {
        respond(reply, !keepAlive);
    }

    /**
     * Sends the whole reply.
     *
     * @param reply the reply
     * @param close whether the connection ends with it
     * @throws InterruptedException if the process stops
     */
    public void respond(HttpReply reply, boolean close) throws InterruptedException
    {
        answered = true;
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(reply.status()), Unpooled.wrappedBuffer(reply.body()));
        response.headers().set(reply.headers());
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
        if (close)
        {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        channel.writeAndFlush(response).await();
        if (close)
        {
            channel.close().await();
        }
    }

    /**
     * Begins an answer of unknown length, one JSON object a line.
     *
     * @throws InterruptedException if the process stops
     */
    public void startLines() throws InterruptedException
    {
        answered = true;
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/x-ndjson");
        HttpUtil.setTransferEncodingChunked(response, true);
        channel.writeAndFlush(response).await();
    }

    /**
     * Sends one line of a begun answer and waits until it is written.
     *
     * @param json the line without its end
     * @throws InterruptedException if the process stops
     * @throws GaugehollowException if the caller is gone
     */
    public void writeLine(byte[] json) throws InterruptedException
    {
        DefaultHttpContent line = new DefaultHttpContent(
                Unpooled.wrappedBuffer(json, "\n".getBytes(StandardCharsets.US_ASCII)));
        if (!channel.writeAndFlush(line).await().isSuccess())
        {
            throw new GaugehollowException(ResultCode.PEER_LOST, "the caller is gone");
        }
    }

    /**
     * Ends a begun answer.
     *
     * @throws InterruptedException if the process stops
     */
    public void endLines() throws InterruptedException
    {
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).await();
        if (!keepAlive)
        {
            channel.close().await();
        }
    }

    /**
     * Cuts the connection without an answer.
     *
     * @throws InterruptedException if the process stops
     */
    public void abort() throws InterruptedException
    {
        answered = true;
        channel.close().await();
    }

    /**
     * Sends a reply whose body breaks off in the middle, and cuts the connection. For stand-ins of
     * failing servers.
     *
     * @param reply the reply
     * @throws InterruptedException if the process stops
     */
    public void respondTruncated(HttpReply reply) throws InterruptedException
    {
        answered = true;
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(reply.status()));
        response.headers().set(reply.headers());
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
        channel.writeAndFlush(response).await();
        int half = reply.body().length / 2;
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(reply.body(), 0, half))).await();
        channel.close().await();
    }
}
