"""Tests of teaselcove."""
