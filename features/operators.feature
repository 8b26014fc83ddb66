Feature: Operators drive the system by editing the declared document

  Background:
    Given a fleet of 2 instances with an engine and a plain service

  Scenario: A data centre that is taken out receives no new work
    When data centre muc-b is taken out
    And 4 seconds pass
    And partner-a looks up 5 slots through each instance
    Then target b1 has received nothing since

  Scenario: A data centre that is brought back receives work again
    When data centre muc-b is taken out
    And data centre muc-b is brought back
    And data centre muc-a is taken out
    And 4 seconds pass
    And partner-a looks up 5 slots through each instance
    Then every lookup was answered
    And target b1 has received something since
    And target b2 has received nothing since

  Scenario: A document that is not valid is never in force
    When a document that is not valid is published
    And 1 seconds pass
    Then every instance says what is wrong with it
    And partner-a is still served by each instance

  Scenario: A workspace over its plan is told when to come back
    When partner-b may make 1 requests a minute to bookings
    And 4 seconds pass
    And partner-b looks up 5 slots through each instance
    Then at least 1 of the lookups were refused with plan_limit and when to come back
    And partner-a is still served by each instance
