/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import java.util.function.BooleanSupplier;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.HttpMessage;
import org.gaugehollow.net.HttpReply;

/**
 * Answers no caller by a configuration that may be old: while the store does not answer this box, a
 * queue or a key may have come into force or gone. Such a request goes to a box that the store
 * answers.
 */
final class FreshConfigService implements CallerService
{
    private final CallerService service;
    private final BooleanSupplier mayBeStale;

    /**
     * @param service decides by this box's configuration
     * @param mayBeStale whether the configuration may have changed without this box knowing of it
     */
    FreshConfigService(CallerService service, BooleanSupplier mayBeStale)
    {
        this.service = service;
        this.mayBeStale = mayBeStale;
    }

    @Override
    public HttpReply answer(HttpMessage request) throws InterruptedException
    {
        if (mayBeStale.getAsBoolean())
        {
            throw new GaugehollowException(ResultCode.CONFIG_MAY_BE_OLD,
                    "the store does not answer this box, or has only just begun to");
        }
        return service.answer(request);
    }
}
