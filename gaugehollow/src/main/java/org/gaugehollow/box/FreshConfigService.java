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
 * queue or a key that it does not know may have come into force since. Such a request goes to a box
 * that the store answers, as a request does that needs the store.
 */
final class FreshConfigService implements CallerService
{
    private final CallerService service;
    private final BooleanSupplier mayBeOld;

    /**
     * @param service decides by this box's configuration
     * @param mayBeOld whether the store does not answer this box
     */
    FreshConfigService(CallerService service, BooleanSupplier mayBeOld)
    {
        this.service = service;
        this.mayBeOld = mayBeOld;
    }

    @Override
    public HttpReply answer(HttpMessage request) throws InterruptedException
    {
        try
        {
            return service.answer(request);
        }
        catch (GaugehollowException e)
        {
            if (dependsOnConfig(e.code()) && mayBeOld.getAsBoolean())
            {
                throw new GaugehollowException(ResultCode.CONFIG_MAY_BE_OLD,
                        "the store does not answer this box; by its configuration: " + e.getMessage(), e);
            }
            throw e;
        }
    }

    private static boolean dependsOnConfig(ResultCode code)
    {
        return code == ResultCode.UNKNOWN_QUEUE || code == ResultCode.KEY_UNKNOWN;
    }
}
